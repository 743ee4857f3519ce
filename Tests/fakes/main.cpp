#include "fakes/fakeworker.h"
#include "transport/httpclient.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <sstream>

DEFINE_string(id, "", "worker name");
DEFINE_string(entries, "", "entry hosts of the data centre as HOST:PORT, separated by commas");
DEFINE_string(address, "127.0.0.1", "IPv4 address to listen on");
DEFINE_int32(port, 0, "port for start requests");
DEFINE_string(rack, "", "rack of the worker");
DEFINE_uint64(cpuMillis, 16000, "offered processor time, in millicores");
DEFINE_uint64(memoryMb, 65536, "offered memory, in MB");
DEFINE_uint64(accelerators, 0, "offered accelerators");
DEFINE_uint64(slots, 8, "maximum number of concurrent tasks");
DEFINE_uint64(announceMs, 1000, "interval between announcements, in ms");
DEFINE_uint64(runMs, 30, "run time of a task, in ms");
DEFINE_bool(failAll, false, "report every task as failed");
DEFINE_bool(silent, false, "accept start requests but never respond");
DEFINE_bool(endLeaseEarly, false, "end each task after half of its lease");
DEFINE_bool(answerLate, false, "submit results 3 s after the end of the task");
DEFINE_bool(answerTwice, false, "submit each result twice");
DEFINE_bool(cutShort, false, "truncate the answer in the first submission of each result");
DEFINE_bool(lieAboutSize, false, "report twice the actual resource usage");

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
