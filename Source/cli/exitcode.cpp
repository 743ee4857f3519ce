#include "cli/exitcode.h"

namespace rosemaryturn::cli
{
const char *exitName(ExitCode code)
{
    switch (code) {
    case ExitCode::Success:
        return "success";
    case ExitCode::WrongUsage:
        return "wrong-usage";
    case ExitCode::Refused:
        return "refused";
    case ExitCode::RefusedForNow:
        return "refused-for-now";
    case ExitCode::Unreachable:
        return "unreachable";
    case ExitCode::EndedWithoutAnswer:
        return "ended-without-answer";
    case ExitCode::NotEnded:
        return "not-ended";
    }
    return "unknown";
}
}
