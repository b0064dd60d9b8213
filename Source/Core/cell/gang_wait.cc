// Formats what a gang waited for.
#include "cell/gang_wait.h"

#include <fmt/core.h>

namespace mustardslip {

std::string GangWait::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < kGangWaitCauses; ++i) {
    if (m_ms.at(i) > 0) {
      text += fmt::format("{}{}={}", text.empty() ? "" : " ",
                          ToString(static_cast<GangWaitCause>(i)), m_ms.at(i));
    }
  }
  return text;
}

}  // namespace mustardslip
