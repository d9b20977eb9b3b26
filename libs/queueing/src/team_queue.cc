#include "team_queue.h"

namespace shallotbank::queueing {

auto TeamQueue::Insert(Job& job) -> void {
  auto* shape = this->shapes->Acquire(job.StartShapeKey());
  const auto [found, is_new] =
      this->groups.try_emplace({shape, job.spec.is_urgent});
  auto& group = found->second;
  if (is_new) {
    group.shape = shape;
    this->shape_mask |= shape->mask_bit;
    group.is_urgent = job.spec.is_urgent;
    group.start_amount = {Times(job.spec.need, job.TasksPerStart()),
                          job.TasksPerStart()};
  } else {
    this->shapes->Release(shape);
  }
  const bool is_first =
      group.jobs.empty() || job.order < group.jobs.begin()->first;
  if (is_first) {
    this->Unlink(group);
  }
  group.jobs.emplace(job.order, &job);
  if (is_first) {
    this->Link(group);
  }
  job.group = &group;
  this->job_count++;
}

auto TeamQueue::Remove(Job& job) -> void {
  auto& group = *job.group;
  const bool is_first = group.jobs.begin()->first == job.order;
  if (is_first) {
    this->Unlink(group);
  }
  group.jobs.erase(job.order);
  job.group = nullptr;
  this->job_count--;
  if (!group.jobs.empty()) {
    if (is_first) {
      this->Link(group);
    }
    return;
  }
  auto* shape = group.shape;
  this->groups.erase({shape, group.is_urgent});
  this->shapes->Release(shape);
  this->shape_mask = 0;
  for (const auto& [key, other] : this->groups) {
    this->shape_mask |= other.shape->mask_bit;
  }
}

auto TeamQueue::Unlink(const JobGroup& group) -> void {
  if (group.jobs.empty()) {
    return;
  }
  const auto& first = group.jobs.begin()->first;
  this->all.erase(first);
  if (group.is_urgent) {
    this->urgent.erase(first);
  }
}

auto TeamQueue::Link(JobGroup& group) -> void {
  const auto& first = group.jobs.begin()->first;
  this->all.emplace(first, GroupRef{&group, group.shape});
  if (group.is_urgent) {
    this->urgent.emplace(first, GroupRef{&group, group.shape});
  }
}

}  // namespace shallotbank::queueing
