#include "daemon/daemon.h"

#include "control/controlloop.h"
#include "storage/identity.h"
#include "storage/journalthread.h"
#include "storage/storageerror.h"
#include "telemetry/log.h"
#include "transport/callerapi.h"
#include "transport/httpclient.h"
#include "transport/operatorapi.h"
#include "transport/peernetwork.h"
#include "transport/startsender.h"
#include "transport/upstreamapi.h"
#include "wire/frame.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <random>
#include <thread>

namespace rosemaryturn::daemon
{
namespace
{
using telemetry::Event;

/** Delay before new connections are refused, in which the load balancer detects that the host is not ready. */
constexpr std::chrono::milliseconds loadBalancerDelay{1000};
constexpr std::chrono::milliseconds drainPollInterval{20};

/** State restored from the data folder. */
struct RestoredState
{
    std::uint64_t incarnation = 0;
    std::map<std::string, storage::Journal> journals;
    std::map<std::string, std::vector<wire::JournalRecordT>> records;
};

std::filesystem::path journalPath(const config::Settings &settings, const std::string &group)
{
    std::string name = group;
    std::replace(name.begin(), name.end(), '/', '-');
    return std::filesystem::path(settings.dataFolder) / (name + ".journal");
}

std::error_code restoreGroup(const config::Settings &settings, const std::string &group, RestoredState &restored)
{
    storage::JournalContent content;
    if (const std::error_code error = restored.journals[group].open(journalPath(settings, group), content)) {
        return error;
    }
    if (content.tornBytes > 0) {
        telemetry::log(Event::JournalTornTail, {{"group", group}, {"bytes", std::to_string(content.tornBytes)}});
    }
    telemetry::log(Event::JournalRestored,
                   {{"group", group}, {"records", std::to_string(content.records.size())}, {"bytes", std::to_string(content.validBytes)}});
    restored.records[group] = std::move(content.records);
    return {};
}

std::error_code restoreAll(const config::Settings &settings, RestoredState &restored)
{
    if (settings.dataFolder.empty()) {
        restored.incarnation = storage::generateIncarnation();
        return {};
    }
    std::error_code error;
    const storage::Identity identity = storage::readIdentity(settings.dataFolder, error);
    if (error) {
        return error;
    }
    if (identity.host != settings.host || identity.cluster != settings.cluster) {
        return storage::StorageError::NotADataFolder;
    }
    restored.incarnation = identity.incarnation;
    for (const std::string &group : control::groupsOf(settings, settings.host)) {
        if ((error = restoreGroup(settings, group, restored))) {
            return error;
        }
    }
    return {};
}

/** Owns the threads and servers of a daemon and connects them with each other. */
class HostRuntime
{
public:
    /** @param settings checked settings. @param host the restored control state. @param journals the open journals. */
    HostRuntime(const config::Settings &settings, control::Host host, std::map<std::string, storage::Journal> journals)
        : m_settings(settings)
        , m_gateway(
              [this](control::Token token, wire::RequestT request) {
                  return m_loop->post(control::LocalRequestEvent{token, std::move(request)});
              },
              settings.limits.maxWaiters)
        , m_network(settings, host.incarnation, peerHandlers())
    {
        m_loop = std::make_unique<control::ControlLoop>(std::move(host), control::systemClock(), sinks());
        m_journal = std::make_unique<storage::JournalThread>(std::move(journals), journalSinks());
        m_sender = std::make_unique<transport::StartSender>(
            settings.limits.startSenders, settings.timing.startTimeoutMs, [this](std::vector<control::StartReply> replies) {
                m_loop->post(control::StartRepliesEvent{std::move(replies)});
            });
    }

    std::error_code start()
    {
        if (const std::error_code error = m_network.start()) {
            return error;
        }
        m_loop->start();
        const config::HostSettings &own = config::ownHost(m_settings);
        transport::HttpLimits limits;
        limits.maxBodyBytes = m_settings.limits.maxBodyBytes;
        limits.maxConnections = m_settings.limits.maxConnections;
        return m_server.start(own.address, own.httpPort, limits, routes());
    }

    /** Drains the host, so that no request in flight is cut off. @return the number of requests still open when drainMs had passed. */
    std::uint64_t drain()
    {
        m_draining = true;
        m_loop->post(control::DrainEvent{});
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(m_settings.timing.drainMs);
        std::this_thread::sleep_for(std::min(loadBalancerDelay, std::chrono::milliseconds(m_settings.timing.drainMs)));
        m_server.quiesce();
        while (m_server.inFlight() > 0 && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(drainPollInterval);
        }
        return m_server.inFlight();
    }

    void stop()
    {
        m_server.stop();
        m_sender->stop();
        m_loop->stop();
        m_journal->stop();
        m_network.stop();
    }

    bool journalFailed() const
    {
        return m_journalFailed;
    }

private:
    transport::PeerHandlers peerHandlers()
    {
        transport::PeerHandlers handlers;
        handlers.call = [this](const std::string &from, std::uint64_t id, wire::RequestT request) {
            m_loop->post(control::CallEvent{from, id, std::move(request)});
        };
        handlers.reply = [this](std::uint64_t id, wire::ReplyT reply) {
            m_loop->post(control::CallReplyEvent{id, std::move(reply)});
        };
        handlers.message = [this](wire::ConsensusMessageT message) {
            m_loop->post(control::MessageEvent{std::move(message)});
        };
        handlers.peer = [this](const std::string &peer, const control::PeerState &state) {
            m_loop->post(control::PeerEvent{peer, state});
        };
        return handlers;
    }

    control::Sinks sinks()
    {
        control::Sinks sinks;
        sinks.persist = [this](consensus::PersistRequest order) {
            m_journal->post(std::move(order));
        };
        sinks.sendMessage = [this](wire::ConsensusMessageT message) {
            sendMessage(std::move(message));
        };
        sinks.call = [this](control::OutgoingCall call) {
            wire::CallT body;
            body.id = call.id;
            body.request = std::make_unique<wire::RequestT>(std::move(call.request));
            m_network.send(call.to, wire::makeFrame(std::move(body)));
        };
        sinks.replyToPeer = [this](control::OutgoingReply reply) {
            wire::CallReplyT body;
            body.id = reply.id;
            body.reply = std::make_unique<wire::ReplyT>(std::move(reply.reply));
            m_network.send(reply.to, wire::makeFrame(std::move(body)));
        };
        sinks.reply = [this](control::TokenReply reply) {
            m_gateway.deliver(std::move(reply));
        };
        sinks.start = [this](std::vector<control::StartOrder> orders) {
            m_sender->post(std::move(orders));
        };
        sinks.ready = [this](bool ready) {
            updateReady(ready);
        };
        return sinks;
    }

    storage::JournalCallbacks journalSinks()
    {
        storage::JournalCallbacks sinks;
        sinks.send = [this](wire::ConsensusMessageT message) {
            sendMessage(std::move(message));
        };
        sinks.persisted = [this](const std::string &group, std::uint64_t index, std::uint64_t term) {
            m_loop->post(control::PersistedEvent{group, index, term});
        };
        sinks.failed = [this](const std::string &group, std::error_code error) {
            telemetry::log(Event::JournalFailed, {{"group", group}, {"cause", error.message()}});
            m_journalFailed = true;
            kill(getpid(), SIGTERM);
        };
        return sinks;
    }

    std::vector<transport::HttpRoute> routes()
    {
        transport::OperatorApiOptions options;
        options.ready = [this] {
            return m_ready && !m_draining;
        };
        options.traffic = [this] {
            return m_network.totals();
        };
        options.syncs = [this] {
            return m_journal->syncCount();
        };
        std::vector<transport::HttpRoute> all = transport::callerRoutes(m_gateway, {m_settings.environment, m_settings.limits.maxWaitMs});
        for (auto &route : transport::upstreamRoutes(m_gateway, config::ownHost(m_settings).dataCentre)) {
            all.push_back(std::move(route));
        }
        for (auto &route : transport::operatorRoutes(m_gateway, options)) {
            all.push_back(std::move(route));
        }
        return all;
    }

    void sendMessage(wire::ConsensusMessageT message)
    {
        const std::string to = message.to;
        m_network.send(to, wire::makeFrame(std::move(message)));
    }

    void updateReady(bool ready)
    {
        if (ready && !m_ready) {
            telemetry::log(Event::Ready, {{"host", m_settings.host}});
        }
        m_ready = ready;
    }

    config::Settings m_settings;
    std::unique_ptr<control::ControlLoop> m_loop;
    std::unique_ptr<storage::JournalThread> m_journal;
    std::unique_ptr<transport::StartSender> m_sender;
    transport::Gateway m_gateway;
    transport::PeerNetwork m_network;
    transport::HttpServer m_server;
    std::atomic<bool> m_ready{false};
    std::atomic<bool> m_draining{false};
    std::atomic<bool> m_journalFailed{false};
};

void waitForSignal(const sigset_t &signals)
{
    int signal = 0;
    sigwait(&signals, &signal);
}
}

ExitCode initialiseDataFolder(const config::Settings &settings, bool founding)
{
    if (settings.dataFolder.empty()) {
        telemetry::log(Event::DataFolderRefused, {{"cause", "this host has no dataFolder in its settings"}});
        return ExitCode::WrongDataFolder;
    }
    const std::uint64_t incarnation = founding ? storage::foundingIncarnation : storage::generateIncarnation();
    if (const std::error_code error = storage::writeIdentity(settings.dataFolder, {settings.cluster, settings.host, incarnation})) {
        telemetry::log(Event::DataFolderRefused, {{"folder", settings.dataFolder}, {"cause", error.message()}});
        return ExitCode::WrongDataFolder;
    }
    return ExitCode::Success;
}

ExitCode serve(const config::Settings &settings)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    telemetry::log(Event::Starting, {{"host", settings.host}, {"cluster", settings.cluster}});
    RestoredState restored;
    if (const std::error_code error = restoreAll(settings, restored)) {
        telemetry::log(Event::DataFolderRefused, {{"folder", settings.dataFolder}, {"cause", error.message()}});
        return ExitCode::WrongDataFolder;
    }
    std::random_device random;
    const std::uint64_t seed = (std::uint64_t{random()} << 32U) | random();
    std::error_code error;
    control::Host host = control::makeHost(settings, restored.incarnation, restored.records, seed, control::systemClock()(), error);
    if (error) {
        telemetry::log(Event::SnapshotUnreadable, {{"folder", settings.dataFolder}, {"cause", error.message()}});
        return ExitCode::WrongDataFolder;
    }
    transport::initialiseHttp();
    HostRuntime runtime(settings, std::move(host), std::move(restored.journals));
    if (const std::error_code error = runtime.start()) {
        telemetry::log(Event::HttpUnavailable, {{"cause", error.message()}});
        runtime.stop();
        return ExitCode::PortUnavailable;
    }
    waitForSignal(signals);
    telemetry::log(Event::Draining, {{"host", settings.host}});
    const std::uint64_t unanswered = runtime.drain();
    runtime.stop();
    telemetry::log(Event::Stopped, {{"unanswered", std::to_string(unanswered)}});
    transport::cleanupHttp();
    return runtime.journalFailed() ? ExitCode::JournalFailed : ExitCode::Success;
}
}
