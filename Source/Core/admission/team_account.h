// Resource accounting of one team against its limit. Used by JobBook.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "common/resources.h"
#include "fleet/worker_api.h"

namespace mustardslip {

// Invariant: a charge is accepted only if the limit covers it together with all
// earlier charges and the capacity of VMs whose tasks are not known yet.
class TeamAccount {
 public:
  // Without a limit nothing can be charged. A limit below the present charges
  // stops no attempt; it prevents new charges.
  void SetLimit(std::optional<Resources> limit) { m_limit = limit; }
  const std::optional<Resources>& Limit() const { return m_limit; }

  // Sets the capacity of the group's VMs whose tasks are unknown, which counts
  // as used.
  void SetUnknownUsage(const std::string& group, const Resources& capacity);

  bool CanCharge(const Resources& amount) const;
  // False, without effect, if the limit does not cover the amount. An attempt
  // that is already charged is not charged again.
  bool Charge(const AttemptId& attempt, const Resources& amount);
  // Charges an attempt that was found running, regardless of the limit.
  void ChargeUnchecked(const AttemptId& attempt, const Resources& amount);
  // An attempt that is not charged is ignored.
  void Refund(const AttemptId& attempt);

  const Resources& Charged() const { return m_charged; }
  Resources UnknownUsage() const;

 private:
  std::optional<Resources> m_limit;
  std::map<AttemptId, Resources> m_charges;
  // Sum of m_charges.
  Resources m_charged;
  // By group; see SetUnknownUsage.
  std::map<std::string, Resources> m_unknown_usage;
};

}  // namespace mustardslip
