#include "quarantine/observed_response.hpp"

#include <algorithm>

namespace boragefront::quarantine {

void observed_response::record_head() {
    progress_ = std::max(progress_, response_progress::head);
}

bool observed_response::record_content(time_point now) {
    progress_ = content_at_ ? response_progress::content : response_progress::first_content;
    content_at_ = content_at_.value_or(now);
    if (now - sound_at_.value_or(*content_at_) < sound_response_time) {
        return false;
    }
    sound_at_ = now;
    return true;
}

} // namespace boragefront::quarantine
