// The owners that run in this daemon, by shard.
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "common/thread_pool.h"
#include "fleet/worker_api.h"

namespace mustardslip {

// Starts and stops the owners of one kind of shard. Building and stopping may
// block, so they run on a pool; the calls of the membership session return at
// once, except Release(). The pool must have a thread for each shard that is
// built or stopped at the same time, and outlive the host.
template <typename Owner>
class ShardHost {
 public:
  // Builds and starts an owner; may repeat store reads until `cancelled`, and
  // then returns null.
  using Builder =
      std::function<std::shared_ptr<Owner>(const std::string& name, Epoch epoch,
                                           const std::atomic<bool>& cancelled)>;
  using Stopper = std::function<void(Owner& owner, bool graceful)>;

  ShardHost(ThreadPool& pool, Builder build, Stopper stop)
      : m_pool(pool), m_build(std::move(build)), m_stop(std::move(stop)) {}

  void Acquire(const std::string& name, Epoch epoch) {
    auto slot = std::make_shared<Slot>();
    {
      const std::lock_guard lock(m_mutex);
      m_slots[name] = slot;
    }
    m_pool.Submit([this, slot, name, epoch] {
      const std::lock_guard lock(slot->m_building);
      if (slot->m_cancelled) {
        return;
      }
      std::shared_ptr<Owner> owner = m_build(name, epoch, slot->m_cancelled);
      const std::lock_guard publish(m_mutex);
      slot->m_owner = std::move(owner);
    });
  }

  // Superseded: stops at once, in the background.
  void Lose(const std::string& name) {
    if (const auto slot = Take(name)) {
      m_pool.Submit([this, slot] { StopSlot(*slot, false); });
    }
  }

  // Planned hand-over: returns when the owner has stopped.
  void Release(const std::string& name) {
    if (const auto slot = Take(name)) {
      StopSlot(*slot, true);
    }
  }

  // Null if the shard is not owned here, or is still being built.
  std::shared_ptr<Owner> Find(const std::string& name) const {
    const std::lock_guard lock(m_mutex);
    const auto found = m_slots.find(name);
    return found == m_slots.end() ? nullptr : found->second->m_owner;
  }

  std::vector<std::pair<std::string, std::shared_ptr<Owner>>> All() const {
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<std::string, std::shared_ptr<Owner>>> owners;
    for (const auto& [name, slot] : m_slots) {
      if (slot->m_owner != nullptr) {
        owners.emplace_back(name, slot->m_owner);
      }
    }
    return owners;
  }

 private:
  struct Slot {
    // Held while the owner is built or stopped.
    std::mutex m_building;
    std::atomic<bool> m_cancelled = false;
    std::shared_ptr<Owner> m_owner;  // Guarded by ShardHost::m_mutex.
  };

  std::shared_ptr<Slot> Take(const std::string& name) {
    const std::lock_guard lock(m_mutex);
    const auto found = m_slots.find(name);
    if (found == m_slots.end()) {
      return nullptr;
    }
    std::shared_ptr<Slot> slot = std::move(found->second);
    m_slots.erase(found);
    slot->m_cancelled = true;
    return slot;
  }

  void StopSlot(Slot& slot, bool graceful) {
    const std::lock_guard lock(slot.m_building);
    std::shared_ptr<Owner> owner;
    {
      const std::lock_guard take(m_mutex);
      owner = std::move(slot.m_owner);
    }
    if (owner != nullptr) {
      m_stop(*owner, graceful);
    }
  }

  ThreadPool& m_pool;
  const Builder m_build;
  const Stopper m_stop;
  mutable std::mutex m_mutex;
  std::map<std::string, std::shared_ptr<Slot>> m_slots;  // Guarded by m_mutex.
};

}  // namespace mustardslip
