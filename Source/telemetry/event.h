#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rosemaryturn::telemetry
{
/** Events of the log; their values are the numbers in log lines. */
enum class Event {
    Starting = 1001,
    Ready = 1002,
    Draining = 1003,
    Stopped = 1004,
    HttpUnavailable = 1005,
    ClientsLimited = 1006,
    JournalRestored = 2001,
    JournalTornTail = 2002,
    JournalFailed = 2003,
    DataFolderRefused = 2004,
    SnapshotUnreadable = 2005,
    SnapshotRefused = 2006,
    LeadershipGained = 3001,
    LeadershipLost = 3002,
    MembershipChanged = 3003,
    PeerConnected = 4001,
    PeerDisconnected = 4002,
    PeerSilent = 4003,
    PeerRefused = 4004,
    ConfigInForce = 5001,
    StartFailed = 6001,
    Decision = 7001,
    SettingsReloaded = 7002,
    SettingsRefused = 7003,
    LinesDropped = 7004,
};

/** Severity of an event. */
enum class Level {
    Debug,
    Info,
    Warn,
    Error,
};

/** Description of an event. */
struct EventInfo
{
    Event event;
    Level level;
    std::string_view name;
    std::string_view text; ///< Meaning of the event and the action expected from an operator.
};

/** Key-value pair of a log line. */
struct Field
{
    std::string_view key;
    std::string value;
};

/** @return all events, in the order of their numbers. */
std::span<const EventInfo> allEvents();

/** @param event an event. @return its description. */
const EventInfo &eventInfo(Event event);

/** @param event an event. @param fields its fields. @return the log line, in the form RT-NNNN name key=value ... */
std::string formatEvent(Event event, const std::vector<Field> &fields);
}
