#include "fakes/fakeworker.h"
#include "transport/httpclient.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

DEFINE_string(id, "", "name of the worker");
DEFINE_string(entries, "", "HOST:PORT of the entry hosts of its data centre, separated by commas");
DEFINE_string(address, "127.0.0.1", "IP number that it listens on");
DEFINE_int32(port, 0, "port for starts");
DEFINE_string(rack, "", "its rack");
DEFINE_uint64(cpuMillis, 16000, "processor time that it offers");
DEFINE_uint64(memoryMb, 65536, "memory that it offers");
DEFINE_uint64(accelerators, 0, "accelerators that it offers");
DEFINE_uint64(slots, 8, "tasks side by side");
DEFINE_uint64(announceMs, 1000, "time between two announcements");
DEFINE_uint64(runMs, 30, "run time of a task");
DEFINE_bool(failAll, false, "report a failure for every task");
DEFINE_bool(silent, false, "take connections for starts and never reply");
DEFINE_bool(endLeaseEarly, false, "drop each task at half of its lease");
DEFINE_bool(answerLate, false, "hand results in long after the end");
DEFINE_bool(answerTwice, false, "hand each result in twice");
DEFINE_bool(cutShort, false, "send the first copy of each answer cut short");
DEFINE_bool(lieAboutSize, false, "report double usage");

namespace
{
rosemaryturn::fakes::FakeWorkerOptions optionsFromFlags()
{
    rosemaryturn::fakes::FakeWorkerOptions options;
    options.id = FLAGS_id;
    options.address = FLAGS_address;
    options.port = static_cast<std::uint16_t>(FLAGS_port);
    options.rack = FLAGS_rack;
    options.cpuMillis = FLAGS_cpuMillis;
    options.memoryMb = FLAGS_memoryMb;
    options.accelerators = FLAGS_accelerators;
    options.slots = FLAGS_slots;
    options.announceMs = FLAGS_announceMs;
    options.runMs = FLAGS_runMs;
    options.failAll = FLAGS_failAll;
    options.silent = FLAGS_silent;
    options.endLeaseEarly = FLAGS_endLeaseEarly;
    options.answerLate = FLAGS_answerLate;
    options.answerTwice = FLAGS_answerTwice;
    options.cutShort = FLAGS_cutShort;
    options.lieAboutSize = FLAGS_lieAboutSize;
    std::istringstream entries(FLAGS_entries);
    for (std::string entry; std::getline(entries, entry, ',');) {
        options.entries.push_back(entry);
    }
    return options;
}
}

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    rosemaryturn::transport::initialiseHttp();
    rosemaryturn::fakes::FakeWorker worker(optionsFromFlags());
    if (const std::error_code error = worker.start()) {
        std::cerr << "fake worker " << FLAGS_id << ": " << error.message() << '\n';
        return 1;
    }
    int signal = 0;
    sigwait(&signals, &signal);
    worker.stop();
    return 0;
}
