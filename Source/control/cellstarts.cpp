#include "control/cellinternal.h"

namespace rosemaryturn::control
{
void handleStartReplies(Cell &cell, const std::vector<StartReply> &replies, const Now &now, CellOutput &output)
{
    for (const StartReply &reply : replies) {
        const auto task = cell.state.tasks.find(reply.task);
        const auto live = cell.leader.live.find(reply.task);
        const bool current = task != cell.state.tasks.end() && live != cell.leader.live.end() && task->second.phase == wire::TaskPhase::Dispatched
            && task->second.attempt == reply.attempt && !live->second.endProposed;
        if (!current) {
            continue;
        }
        switch (reply.status) {
        case StartStatus::Accepted:
            live->second.confirmed = true;
            live->second.firstExpectedAnnouncement = reply.announcement + 1;
            break;
        case StartStatus::Refused:
            internal::handleAttemptEnd(cell, reply.task, internal::AttemptEnd::NeverBegan, model::Reason::StartRefused, {}, now, output);
            break;
        case StartStatus::Unknown:
            break; // Settled by later announcements; sending the order again could run the task twice.
        }
    }
}
}
