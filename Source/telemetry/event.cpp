#include "telemetry/event.h"

#include <algorithm>
#include <array>

namespace rosemaryturn::telemetry
{
namespace
{
/** Longer values are cut off. They may hold what a client sent, such as a path, and lines wait in a queue while the output is read slowly. */
constexpr std::size_t maxValueLength = 2000;

constexpr std::array eventTable{
    EventInfo{Event::Starting, Level::Info, "starting", "The process starts with checked settings."},
    EventInfo{Event::Ready, Level::Info, "ready", "The host serves callers; /readyz answers 200."},
    EventInfo{Event::Draining, Level::Info, "draining", "A graceful shutdown began; the balancer is told by /readyz."},
    EventInfo{Event::Stopped, Level::Info, "stopped", "The process ends; the field unanswered counts requests cut off, 0 unless drainMs ran out."},
    EventInfo{Event::HttpUnavailable, Level::Error, "http-unavailable", "The HTTP port cannot be opened; check address and httpPort."},
    EventInfo{Event::ClientsLimited,
              Level::Warn,
              "clients-limited",
              "Connections of clients were closed, or requests refused before they ran, within a second; a limit on clients was reached."},
    EventInfo{Event::JournalRestored, Level::Info, "journal-restored", "The state of a group was read back from the disk."},
    EventInfo{Event::JournalTornTail, Level::Warn, "journal-torn-tail", "The last batch was cut by a crash and was never acknowledged; it is dropped."},
    EventInfo{Event::JournalFailed, Level::Error, "journal-failed", "The disk refused a write; the process ends. Check the disk, then start again."},
    EventInfo{Event::DataFolderRefused, Level::Error, "data-folder-refused", "The data folder cannot be used; the line names the remedy."},
    EventInfo{Event::SnapshotUnreadable,
              Level::Error,
              "snapshot-unreadable",
              "The snapshot in a journal is intact but can't be read by this build; the process ends and leaves the journal as it is."},
    EventInfo{Event::SnapshotRefused, Level::Error, "snapshot-refused", "A snapshot can't be read, or no frame can hold it; the host keeps its own log."},
    EventInfo{Event::LeadershipGained, Level::Info, "leadership-gained", "This host decides for the group from now on."},
    EventInfo{Event::LeadershipLost, Level::Info, "leadership-lost", "Another host decides for the group, or none can."},
    EventInfo{Event::MembershipChanged, Level::Info, "membership-changed", "Members of a group changed; a replaced host counts once its role is voter again."},
    EventInfo{Event::PeerConnected, Level::Info, "peer-connected", "A connection to another entry host is up."},
    EventInfo{Event::PeerDisconnected, Level::Warn, "peer-disconnected", "A connection to another entry host ended; it is tried again."},
    EventInfo{Event::PeerSilent, Level::Warn, "peer-silent", "A connection went silent and is replaced by a fresh one."},
    EventInfo{Event::PeerRefused, Level::Error, "peer-refused", "A peer belongs to another cluster or speaks no common version."},
    EventInfo{Event::ConfigInForce, Level::Info, "config-in-force", "A revision of an environment is in force on this host."},
    EventInfo{Event::StartFailed, Level::Warn, "start-failed", "A worker did not reply to a start; its announcements will tell what became of it."},
    EventInfo{Event::Decision, Level::Info, "decision", "A decision of the deployment scope: what was decided, for which id, from which inputs."},
    EventInfo{Event::SettingsReloaded, Level::Info, "settings-reloaded", "The settings were read again; what may change while the host runs is in force."},
    EventInfo{
        Event::SettingsRefused, Level::Error, "settings-refused", "The settings cannot be used; the earlier ones stay in force. The line names the remedy."},
    EventInfo{Event::LinesDropped, Level::Warn, "lines-dropped", "The log was written faster than its bound; the field count says how many lines are missing."},
};
}

std::span<const EventInfo> allEvents()
{
    return eventTable;
}

const EventInfo &eventInfo(Event event)
{
    return *std::find_if(eventTable.begin(), eventTable.end(), [event](const EventInfo &info) {
        return info.event == event;
    });
}

std::string formatEvent(Event event, const std::vector<Field> &fields)
{
    std::string line = "RT-" + std::to_string(static_cast<int>(event)) + " " + std::string(eventInfo(event).name);
    for (const Field &field : fields) {
        const std::string_view value = std::string_view(field.value).substr(0, maxValueLength);
        if (field.key.empty()) { // The value already consists of key=value pairs.
            line.append(" ").append(value);
            continue;
        }
        line += " " + std::string(field.key) + "=";
        const bool isUnquoted = value.find_first_of(" \"\n=") == std::string_view::npos && !value.empty();
        if (isUnquoted) {
            line += value;
            continue;
        }
        line += '"';
        for (const char character : value) {
            line += character == '\n' || character == '"' ? ' ' : character;
        }
        line += '"';
    }
    return line;
}
}
