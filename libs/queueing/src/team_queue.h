#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <utility>
#include <vector>

#include "queueing/decision.h"
#include "queueing/queue_policy.h"
#include "queueing/queued_job.h"
#include "shape_table.h"

namespace shallotbank::queueing {

struct Team;
struct JobGroup;

/// First come, first served; the sequence separates equal submit times.
struct JobOrder {
  TimePoint submitted;
  std::uint64_t sequence = 0;

  auto operator==(const JobOrder&) const -> bool = default;
  auto operator<(const JobOrder& other) const -> bool {
    return std::tie(this->submitted, this->sequence) <
           std::tie(other.submitted, other.sequence);
  }
};

/// A job with tasks that wait or run.
struct Job {
  QueuedJob accepted;
  Team* team = nullptr;
  JobGroup* group = nullptr;  // Set while tasks are waiting.
  JobOrder order;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  bool has_run = false;  // True unless certainly no task ran.
  bool is_stopping = false;
  bool is_apart = false;  // Blocked once for reasons of its own.
  // Since when smaller work overtakes this job.
  std::optional<TimePoint> overtaken_since;

  auto StartTasks() const -> std::int64_t {
    return this->accepted.is_gang ? this->waiting : 1;
  }
  auto StartShape() const -> ShapeKey {
    return {{this->accepted.need, this->StartTasks(),
             this->accepted.placement_class},
            this->is_apart ? this->order.sequence : 0};
  }
};

/// The waiting jobs of one team that are alike for every check.
struct JobGroup {
  ShapeTable::Entry* shape = nullptr;
  bool is_urgent = false;
  Amount start;  // What one start adds to the running amount.
  std::map<JobOrder, Job*> jobs;
};

/// The waiting jobs of a team, by group. Finds the first job without looking at
/// those that are alike.
class TeamQueue {
 public:
  struct Item {
    JobGroup* group = nullptr;
    const ShapeTable::Entry* shape = nullptr;
  };
  using Order = std::map<JobOrder, Item>;

  explicit TeamQueue(ShapeTable& shapes) : shapes(&shapes) {}

  auto Insert(Job& job) -> void;
  auto Remove(Job& job) -> void;

  /// The groups by their first job.
  auto All() const -> const Order& { return this->all; }
  auto Urgent() const -> const Order& { return this->urgent; }
  auto Jobs() const -> std::size_t { return this->jobs; }
  /// The mask bits of the shapes of all groups.
  auto ShapeMask() const -> std::uint64_t { return this->shape_mask; }

 private:
  // The shape and whether the jobs are urgent.
  using GroupKey = std::pair<ShapeTable::Entry*, bool>;

  auto Unlink(const JobGroup& group) -> void;
  auto Link(JobGroup& group) -> void;

  ShapeTable* shapes;
  std::map<GroupKey, JobGroup> groups;
  Order all;
  Order urgent;
  std::uint64_t shape_mask = 0;
  std::size_t jobs = 0;
};

struct Organisation;

/// The first job of a team that may start.
struct Head {
  JobGroup* group = nullptr;  // Null if no job may start.
  const ShapeTable::Entry* shape = nullptr;
  JobOrder order;
  bool is_urgent_first = false;  // Goes before all normal work.
};

/// A team with its policy, what it runs and what it waits for.
struct Team {
  Team(TeamId team_id, ShapeTable& shapes)
      : id(std::move(team_id)), queue(shapes) {}

  // What a decision reads of every team comes first, to share cache lines.
  Head head;
  double use_ratio = 0;        // Dominant share / entitlement.
  bool is_stale = true;        // `head` and `open_head` have to be found again.
  bool is_head_stale = false;  // Only `head` has to be found again.
  bool is_head_open = true;    // `head` equals `open_head`.
  Head open_head;              // As if no shape were blocked.

  TeamId id;
  Organisation* organisation = nullptr;  // Null if not in the policy.
  double entitlement = 0;
  Amount limit;
  Amount held;
  Amount running;
  Resources urgent_running;
  TeamQueue queue;
};

struct Organisation {
  OrganisationId id;
  double entitlement = 0;
  double use_ratio = 0;
  Resources running;
  std::vector<Team*> teams;
  // The first team, as found for decisions at `first_at`.
  Team* first = nullptr;
  TimePoint first_at;
  bool is_stale = true;
};

/// Notes that something changed which the head of the team depends on.
inline auto MarkStale(Team& team) -> void {
  team.is_stale = true;
  if (team.organisation != nullptr) {
    team.organisation->is_stale = true;
  }
}

}  // namespace shallotbank::queueing
