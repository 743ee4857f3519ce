#pragma once

#include "deployment/leader.h"

/** Orders to upstreams and their answers, as they travel between the host that leads and the host that delivers them. */
namespace rosemaryturn::deployment
{
/** @param call an order. @return it for the way to the host that delivers it. */
wire::UpstreamOrderT encodeOrder(const UpstreamCall &call);

/** @param order an order from the host that leads. @return the call to make. */
UpstreamCall decodeOrder(wire::UpstreamOrderT order);

/** @param reply what an upstream answered. @return it for the way back. */
wire::OrderAnswerT encodeAnswer(const UpstreamReply &reply);

/** @param answer an answer from the host that delivered the order. @return the upstream's reply; without an answer where its kind is unknown here. */
UpstreamReply decodeAnswer(wire::OrderAnswerT &&answer);
}
