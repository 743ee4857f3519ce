#pragma once

#include "deployment/leader.h"

/** Encoding of orders to upstreams and of their answers, as exchanged between the leader and the couriers. */
namespace rosemaryturn::deployment
{
/** @param call an order. @return its encoding for the courier. */
wire::UpstreamOrderT encodeOrder(const UpstreamCall &call);

/** @param order an order from the leader. @return the call to make. */
UpstreamCall decodeOrder(wire::UpstreamOrderT order);

/** @param reply an upstream's reply. @return its encoding for the leader. */
wire::OrderAnswerT encodeAnswer(const UpstreamReply &reply);

/** @param answer an answer from a courier. @return the upstream's reply; marked as unanswered if its result is unknown to this version. */
UpstreamReply decodeAnswer(wire::OrderAnswerT &&answer);
}
