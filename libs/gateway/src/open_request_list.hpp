/// \file
/// The requests in progress, which an entry ends before it exits.
#pragma once

#include <functional>
#include <list>
#include <utility>

namespace boragefront::gateway {

/// Traffic thread only.
class open_request_list {
public:
    /// Lists a request as long as it exists.
    class entry {
    public:
        /// \param all must outlive the entry
        /// \param end makes the request end soon; must not destroy an entry
        entry(open_request_list& all, std::function<void()> end)
            : all_{all}, position_{all.ends_.insert(all.ends_.end(), std::move(end))} {}
        ~entry() { all_.ends_.erase(position_); }
        entry(const entry&) = delete;
        entry& operator=(const entry&) = delete;

    private:
        open_request_list& all_;
        std::list<std::function<void()>>::iterator position_;
    };

    /// Makes all requests end.
    void end_all() const {
        for (const auto& end : ends_) {
            end();
        }
    }

private:
    std::list<std::function<void()>> ends_;
};

} // namespace boragefront::gateway
