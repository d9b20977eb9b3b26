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

/// Orders jobs first come, first served; the sequence breaks ties between equal
/// submit times.
struct JobOrder {
  TimePoint submitted;
  std::uint64_t sequence = 0;

  auto operator==(const JobOrder&) const -> bool = default;
  auto operator<(const JobOrder& other) const -> bool {
    return std::tie(this->submitted, this->sequence) <
           std::tie(other.submitted, other.sequence);
  }
};

/// A job with waiting or running tasks.
struct Job {
  QueuedJob spec;
  Team* team = nullptr;
  JobGroup* group = nullptr;  // Set while tasks are waiting.
  JobOrder order;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  bool has_run = false;  // False only if certainly no ended task has run.
  bool is_cancelled = false;
  bool has_own_shape = false;  // Was blocked for reasons of its own.
  // When smaller work first overtook this job.
  std::optional<TimePoint> overtaken_since;

  auto TasksPerStart() const -> std::int64_t {
    return this->spec.is_gang ? this->waiting : 1;
  }
  auto StartShapeKey() const -> ShapeKey {
    return {
        {this->spec.need, this->TasksPerStart(), this->spec.placement_class},
        this->has_own_shape ? this->order.sequence : 0};
  }
};

/// Waiting jobs of one team that no check distinguishes.
struct JobGroup {
  ShapeTable::Entry* shape = nullptr;
  bool is_urgent = false;
  Amount start_amount;  // What one start adds to the running amount.
  std::map<JobOrder, Job*> jobs;
};

/// The waiting jobs of a team, by group. Finds the first startable job by
/// checking each group once instead of each job.
class TeamQueue {
 public:
  struct GroupRef {
    JobGroup* group = nullptr;
    const ShapeTable::Entry* shape = nullptr;
  };
  using GroupOrder = std::map<JobOrder, GroupRef>;

  explicit TeamQueue(ShapeTable& shapes) : shapes(&shapes) {}

  auto Insert(Job& job) -> void;
  auto Remove(Job& job) -> void;

  /// Returns the groups, ordered by their first job.
  auto All() const -> const GroupOrder& { return this->all; }
  auto Urgent() const -> const GroupOrder& { return this->urgent; }
  auto JobCount() const -> std::size_t { return this->job_count; }
  /// Returns the mask bits of the shapes of all groups.
  auto ShapeMask() const -> std::uint64_t { return this->shape_mask; }

 private:
  // The shape and whether the jobs are urgent.
  using GroupKey = std::pair<ShapeTable::Entry*, bool>;

  auto Unlink(const JobGroup& group) -> void;
  auto Link(JobGroup& group) -> void;

  ShapeTable* shapes;
  std::map<GroupKey, JobGroup> groups;
  GroupOrder all;
  GroupOrder urgent;
  std::uint64_t shape_mask = 0;
  std::size_t job_count = 0;
};

struct Organisation;

/// The first job of a team that may start.
struct Head {
  JobGroup* group = nullptr;  // Null if no job may start.
  const ShapeTable::Entry* shape = nullptr;
  JobOrder order;
  bool precedes_normal = false;  // Urgent and within the allowance.
};

/// A team with its policy, its running work and its waiting jobs.
struct Team {
  Team(TeamId team_id, ShapeTable& shapes)
      : id(std::move(team_id)), queue(shapes) {}

  // The fields that a decision reads of every team come first, to share cache
  // lines.
  Head head;
  double use_ratio = 0;             // Dominant share / entitlement.
  bool is_stale = true;             // `head` and `unblocked_head` are outdated.
  bool is_head_stale = false;       // Only `head` is outdated.
  bool uses_unblocked_head = true;  // `head` equals `unblocked_head`.
  Head unblocked_head;              // As if no shape were blocked.

  TeamId id;
  Organisation* organisation = nullptr;  // Null if not in the policy.
  double entitlement = 0;
  Amount limit;
  Amount unconfirmed_use;
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
  // The first team, as determined for decisions at `first_team_at`.
  Team* first_team = nullptr;
  TimePoint first_team_at;
  bool is_stale = true;
};

/// Marks the cached head of a team as outdated, and with it the first team of
/// its organisation.
inline auto MarkStale(Team& team) -> void {
  team.is_stale = true;
  if (team.organisation != nullptr) {
    team.organisation->is_stale = true;
  }
}

}  // namespace shallotbank::queueing
