// Implementation of charges and refunds.
#include "admission/team_account.h"

namespace mustardslip {

void TeamAccount::SetUnknownUsage(const std::string& group,
                                  const Resources& capacity) {
  if (capacity == Resources{}) {
    m_unknown_usage.erase(group);
    return;
  }
  m_unknown_usage[group] = capacity;
}

bool TeamAccount::CanCharge(const Resources& amount) const {
  return m_limit.has_value() &&
         (m_charged + UnknownUsage() + amount).FitsIn(*m_limit);
}

bool TeamAccount::Charge(const AttemptId& attempt, const Resources& amount) {
  if (m_charges.contains(attempt)) {
    return true;
  }
  if (!CanCharge(amount)) {
    return false;
  }
  ChargeUnchecked(attempt, amount);
  return true;
}

void TeamAccount::ChargeUnchecked(const AttemptId& attempt,
                                  const Resources& amount) {
  if (m_charges.emplace(attempt, amount).second) {
    m_charged = m_charged + amount;
  }
}

void TeamAccount::Refund(const AttemptId& attempt) {
  const auto found = m_charges.find(attempt);
  if (found == m_charges.end()) {
    return;
  }
  m_charged = m_charged - found->second;
  m_charges.erase(found);
}

Resources TeamAccount::UnknownUsage() const {
  Resources sum;
  for (const auto& [group, capacity] : m_unknown_usage) {
    sum = sum + capacity;
  }
  return sum;
}

}  // namespace mustardslip
