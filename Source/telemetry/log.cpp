#include "telemetry/log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <atomic>

namespace rosemaryturn::telemetry
{
namespace
{
std::atomic<bool> isOpen{false};

log4cxx::LoggerPtr logger()
{
    return log4cxx::Logger::getLogger("rosemaryturn");
}

log4cxx::LevelPtr levelOf(Level level)
{
    switch (level) {
    case Level::Debug:
        return log4cxx::Level::getDebug();
    case Level::Info:
        return log4cxx::Level::getInfo();
    case Level::Warn:
        return log4cxx::Level::getWarn();
    case Level::Error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}
}

void openLog(const std::string &file, const std::string &level)
{
    const auto layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d{ISO8601} %-5p %m%n"));
    log4cxx::AppenderPtr appender;
    if (file == standardOutput) {
        // If the reader of the stream is too slow, lines are dropped instead of blocking; log4cxx logs how many.
        constexpr int maxQueuedLines = 4000;
        const auto asyncAppender = std::make_shared<log4cxx::AsyncAppender>();
        asyncAppender->setBufferSize(maxQueuedLines);
        asyncAppender->setBlocking(false);
        asyncAppender->addAppender(std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.out")));
        appender = asyncAppender;
    } else if (file.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }
    logger()->removeAllAppenders();
    logger()->addAppender(appender);
    logger()->setAdditivity(false);
    logger()->setLevel(log4cxx::Level::toLevel(level));
    isOpen = true;
}

void log(Event event, const std::vector<Field> &fields)
{
    if (!isOpen) {
        return;
    }
    const log4cxx::LevelPtr level = levelOf(eventInfo(event).level);
    if (logger()->isEnabledFor(level)) {
        logger()->forcedLog(level, formatEvent(event, fields));
    }
}
}
