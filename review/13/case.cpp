// Each worker crashes that has written the first event of an answer on one part of a prompt.
#include "../stand_ins_3/poison_scene.hpp"

int main(int argc, char** argv) {
    review::poison_plan plan;
    plan.crash_at = review::crash_point::first_event;
    return review::play_poison(plan, review::case_directory(argc, argv));
}
