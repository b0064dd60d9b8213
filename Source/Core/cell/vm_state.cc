// Clock bound, labels and open runs of a VM.
#include "cell/vm_state.h"

#include <algorithm>

namespace mustardslip {

void VmClock::OnAnswer(std::int64_t vm_ms, std::int64_t now_ms) {
  // A delayed answer gives a lower bound than the known one.
  if (m_known && vm_ms <= LowerBoundMs(now_ms)) {
    return;
  }
  m_known = true;
  m_vm_ms = vm_ms;
  m_at_ms = now_ms;
}

std::int64_t VmClock::LowerBoundMs(std::int64_t now_ms) const {
  constexpr std::int64_t kPercent = 100;
  return m_vm_ms + (now_ms - m_at_ms) * kMinRatePercent / kPercent;
}

bool VmClock::MayShow(std::int64_t vm_ms, std::int64_t now_ms) const {
  return m_known && vm_ms >= LowerBoundMs(now_ms) - kAnswerDelayMs &&
         vm_ms <= m_vm_ms + (now_ms - m_at_ms) + kAnswerDelayMs;
}

std::int64_t VmClock::CertainlyAfterMs(std::int64_t vm_ms) const {
  constexpr std::int64_t kPercent = 100;
  // The VM's clock has to advance by this much; rounded up.
  const std::int64_t advance_ms =
      std::max<std::int64_t>(vm_ms + 1 - m_vm_ms, 0);
  return m_at_ms +
         (advance_ms * kPercent + kMinRatePercent - 1) / kMinRatePercent;
}

bool VmState::HasLabel(const std::string& label) const {
  const std::vector<std::string>& labels = m_description.m_labels;
  return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::vector<RunKey> VmState::OpenRuns() const {
  std::vector<RunKey> runs;
  runs.reserve(m_open.size());
  for (const auto& [key, charge] : m_open) {
    runs.push_back(key);
  }
  return runs;
}

void VmState::AddRun(const RunKey& key, RunCharge charge) {
  m_used.Add(charge);
  if (!charge.m_image.empty()) {
    ++m_images[charge.m_image];
  }
  m_open[key] = std::move(charge);
}

bool VmState::RemoveRun(const RunKey& key) {
  const auto open = m_open.find(key);
  if (open == m_open.end()) {
    return false;
  }
  m_used.Remove(open->second);
  const auto count = m_images.find(open->second.m_image);
  if (count != m_images.end() && --count->second == 0) {
    m_images.erase(count);
  }
  m_open.erase(open);
  return true;
}

}  // namespace mustardslip
