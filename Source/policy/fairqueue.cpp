#include "policy/fairqueue.h"

#include "policy/teamshare.h"

namespace rosemaryturn::policy
{
namespace
{
bool hasTasks(const std::map<std::string, ServiceQueue, std::less<>> &services)
{
    return !services.empty();
}

void removeFromOrder(FairQueue &queue, const std::string &name, const TeamQueue &team)
{
    const std::pair key{dominantShare(team, queue.total), name};
    queue.urgentOrder.erase(key);
    queue.normalOrder.erase(key);
}

void addToOrder(FairQueue &queue, const std::string &name, const TeamQueue &team)
{
    const std::pair key{dominantShare(team, queue.total), name};
    if (hasTasks(team.urgent)) {
        queue.urgentOrder.insert(key);
    }
    if (hasTasks(team.normal)) {
        queue.normalOrder.insert(key);
    }
}

std::map<std::string, ServiceQueue, std::less<>> &servicesOf(TeamQueue &team, bool urgent)
{
    return urgent ? team.urgent : team.normal;
}

/** @return the service with the oldest first task among those not blocked in this pass; null if there is none. */
const std::pair<const std::string, ServiceQueue> *oldestService(const std::map<std::string, ServiceQueue, std::less<>> &services, std::uint64_t pass)
{
    const std::pair<const std::string, ServiceQueue> *best = nullptr;
    for (const auto &entry : services) {
        if (entry.second.blockedInPass == pass) {
            continue;
        }
        if (best == nullptr || entry.second.tasks.front().sequence < best->second.tasks.front().sequence) {
            best = &entry;
        }
    }
    return best;
}

bool peekClass(FairQueue &queue, bool urgent, NextTask &next)
{
    for (const auto &[teamShare, name] : urgent ? queue.urgentOrder : queue.normalOrder) {
        const auto *service = oldestService(servicesOf(queue.teams[name], urgent), queue.pass);
        if (service == nullptr) {
            continue;
        }
        next = {name, service->first, service->second.tasks.front(), urgent};
        return true;
    }
    return false;
}
}

double dominantShare(const TeamQueue &team, const model::Resources &total)
{
    return dominantShare(team.used, total);
}

void setTotal(FairQueue &queue, const model::Resources &total)
{
    queue.total = total;
    queue.urgentOrder.clear();
    queue.normalOrder.clear();
    for (const auto &[name, team] : queue.teams) {
        addToOrder(queue, name, team);
    }
}

void setTeam(FairQueue &queue, const std::string &team, const model::Resources &quota, std::size_t maxQueued)
{
    queue.teams[team].quota = quota;
    queue.teams[team].maxQueued = maxQueued;
}

std::uint64_t enqueue(FairQueue &queue, const std::string &team, const std::string &service, model::TaskId task, bool urgent)
{
    TeamQueue &entry = queue.teams[team];
    const std::uint64_t sequence = queue.nextSequence++;
    ServiceQueue &waiting = servicesOf(entry, urgent)[service];
    waiting.tasks.push_back({task, sequence});
    ++entry.queued;
    ++queue.queued;
    if (waiting.tasks.size() == 1) {
        addToOrder(queue, team, entry);
    }
    return sequence;
}

void decrementQueued(FairQueue &queue, const std::string &team)
{
    --queue.teams[team].queued;
    --queue.queued;
}

void beginPass(FairQueue &queue)
{
    ++queue.pass;
}

bool peek(FairQueue &queue, NextTask &next)
{
    return peekClass(queue, true, next) || peekClass(queue, false, next);
}

void take(FairQueue &queue, const NextTask &next, bool counted)
{
    TeamQueue &team = queue.teams[next.team];
    auto &services = servicesOf(team, next.urgent);
    const auto service = services.find(next.service);
    service->second.tasks.pop_front();
    if (service->second.tasks.empty()) {
        removeFromOrder(queue, next.team, team);
        services.erase(service);
        addToOrder(queue, next.team, team);
    }
    if (counted) {
        decrementQueued(queue, next.team);
    }
}

void block(FairQueue &queue, const NextTask &next)
{
    servicesOf(queue.teams[next.team], next.urgent).find(next.service)->second.blockedInPass = queue.pass;
}

void charge(FairQueue &queue, const std::string &team, const model::Resources &need)
{
    TeamQueue &entry = queue.teams[team];
    removeFromOrder(queue, team, entry);
    entry.used = entry.used + need;
    addToOrder(queue, team, entry);
}

void uncharge(FairQueue &queue, const std::string &team, const model::Resources &need)
{
    TeamQueue &entry = queue.teams[team];
    removeFromOrder(queue, team, entry);
    entry.used = entry.used - need;
    addToOrder(queue, team, entry);
}

bool withinQuota(const FairQueue &queue, const std::string &team, const model::Resources &need)
{
    const auto found = queue.teams.find(team);
    if (found == queue.teams.end()) {
        return true;
    }
    return fitsLimit(found->second.used, need, found->second.quota);
}
}
