#include "deployment/ordercodec.h"

#include <memory>
#include <utility>

namespace rosemaryturn::deployment
{
namespace
{
wire::OrderKind kindOf(CallKind kind)
{
    switch (kind) {
    case CallKind::Start:
        return wire::OrderKind::Start;
    case CallKind::Stop:
        return wire::OrderKind::Stop;
    case CallKind::Pace:
        return wire::OrderKind::Pace;
    case CallKind::Poll:
        break;
    }
    return wire::OrderKind::Look;
}

CallKind kindOf(wire::OrderKind kind)
{
    switch (kind) {
    case wire::OrderKind::Start:
        return CallKind::Start;
    case wire::OrderKind::Stop:
        return CallKind::Stop;
    case wire::OrderKind::Pace:
        return CallKind::Pace;
    case wire::OrderKind::Look:
        break;
    }
    return CallKind::Poll;
}

CallStatus callStatusOf(std::int8_t number)
{
    const bool known = number >= static_cast<std::int8_t>(CallStatus::Done) && number <= static_cast<std::int8_t>(CallStatus::Busy);
    return known ? static_cast<CallStatus>(number) : CallStatus::NoAnswer;
}
}

wire::UpstreamOrderT encodeOrder(const UpstreamCall &call)
{
    wire::UpstreamOrderT order;
    order.id = call.id;
    order.kind = kindOf(call.kind);
    order.address = call.address;
    order.upstream = call.upstream;
    order.job = call.job;
    order.occurrence = call.task.occurrence;
    order.step = call.task.step;
    order.index = call.task.index;
    order.run = call.run;
    order.payload = call.payload;
    order.checkpoint = call.checkpoint;
    order.ticket = call.ticket;
    order.leaseUntilMs = call.leaseUntilMs;
    order.fence = call.fence;
    order.acknowledge = call.acknowledge;
    order.waitMs = static_cast<std::uint32_t>(call.waitMs);
    order.percent = call.percent;
    order.timeoutMs = static_cast<std::uint32_t>(call.timeoutMs);
    return order;
}

UpstreamCall decodeOrder(wire::UpstreamOrderT order)
{
    UpstreamCall call;
    call.id = order.id;
    call.kind = kindOf(order.kind);
    call.address = std::move(order.address);
    call.upstream = std::move(order.upstream);
    call.job = std::move(order.job);
    call.task.occurrence = order.occurrence;
    call.task.step = order.step;
    call.task.index = order.index;
    call.run = order.run;
    call.payload = std::move(order.payload);
    call.checkpoint = std::move(order.checkpoint);
    call.ticket = std::move(order.ticket);
    call.leaseUntilMs = order.leaseUntilMs;
    call.fence = order.fence;
    call.acknowledge = order.acknowledge;
    call.waitMs = order.waitMs;
    call.percent = order.percent;
    call.timeoutMs = order.timeoutMs;
    return call;
}

wire::OrderAnswerT encodeAnswer(const UpstreamReply &reply)
{
    wire::OrderAnswerT answer;
    answer.id = reply.id;
    answer.fate = static_cast<std::int8_t>(reply.status);
    answer.clockMs = reply.clockMs;
    answer.born = reply.incarnation;
    answer.hasLists = reply.hasLists;
    for (const ListedRun &run : reply.running) {
        auto row = std::make_unique<wire::ListedRunT>();
        row->job = run.job;
        row->occurrence = run.task.occurrence;
        row->step = run.task.step;
        row->index = run.task.index;
        row->run = run.run;
        row->checkpoint = run.checkpoint;
        row->percent = run.percent;
        row->figure = run.measurement;
        answer.running.push_back(std::move(row));
    }
    for (const ListedEnd &end : reply.ended) {
        auto row = std::make_unique<wire::ListedEndT>();
        row->number = end.number;
        row->job = end.job;
        row->occurrence = end.task.occurrence;
        row->step = end.task.step;
        row->index = end.task.index;
        row->run = end.run;
        row->end = end.end;
        row->checkpoint = end.checkpoint;
        answer.ended.push_back(std::move(row));
    }
    return answer;
}

UpstreamReply decodeAnswer(wire::OrderAnswerT &&answer)
{
    UpstreamReply reply;
    reply.id = answer.id;
    reply.status = callStatusOf(answer.fate);
    reply.clockMs = answer.clockMs;
    reply.incarnation = answer.born;
    reply.hasLists = answer.hasLists;
    for (const auto &row : answer.running) {
        reply.running.push_back(
            {std::move(row->job), {0, row->occurrence, row->step, row->index}, row->run, std::move(row->checkpoint), row->percent, row->figure});
    }
    for (const auto &row : answer.ended) {
        reply.ended.push_back({row->number, std::move(row->job), {0, row->occurrence, row->step, row->index}, row->run, row->end, std::move(row->checkpoint)});
    }
    return reply;
}
}
