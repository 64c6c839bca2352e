/// \file
/// A sequence that is sorted only as far as it is read.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace boragefront::stages {

/// Values in ascending order of their keys. Construction takes linear time, and each value that is
/// read for the first time takes logarithmic time.
template <class Key, class Value>
class lazily_sorted {
public:
    explicit lazily_sorted(std::vector<std::pair<Key, Value>> items) : unsorted_{std::move(items)} {
        std::make_heap(unsorted_.begin(), unsorted_.end(), is_after);
    }

    /// Returns the value at a position, or `Value{}` if there are fewer.
    Value at(std::size_t position) {
        while (sorted_.size() <= position && !unsorted_.empty()) {
            std::pop_heap(unsorted_.begin(), unsorted_.end(), is_after);
            sorted_.push_back(std::move(unsorted_.back().second));
            unsorted_.pop_back();
        }
        return position < sorted_.size() ? sorted_[position] : Value{};
    }

    /// Removes those of the values read so far for which `predicate` returns true.
    template <class Predicate>
    void erase_read_if(Predicate predicate) {
        std::erase_if(sorted_, predicate);
    }

    bool empty() const { return sorted_.empty() && unsorted_.empty(); }

private:
    static bool is_after(const std::pair<Key, Value>& left, const std::pair<Key, Value>& right) {
        return right.first < left.first;
    }

    std::vector<std::pair<Key, Value>> unsorted_; // a heap, its first element comes first
    std::vector<Value> sorted_;
};

} // namespace boragefront::stages
