// What an entry asks the owner of a cell on behalf of a caller, and the
// messages between daemons that carry it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cell/cell_types.h"
#include "cell/workflow.h"
#include "transport/message.h"

namespace mustardslip {

enum class CellMethod : std::uint8_t { kSubmit, kCancel, kLookup, kCount };

struct CellRequest {
  CellMethod m_method = CellMethod::kLookup;
  std::string m_queue;
  std::string m_job;
  // kSubmit only.
  WorkflowSpec m_spec;

  bool operator==(const CellRequest&) const = default;
};

// Messages on a link between an entry and the owner. An entry sends kHello
// first; the owner answers kWelcome, or kNotOwner and closes.
enum class LinkMessageKind : std::uint8_t {
  kHello,
  kWelcome,
  kNotOwner,
  kPing,
  kRequest,
  kAnswer,
  kAdvise,
  kAdvice,
  // From the owner: it cannot write to the store, or the receiver has far more
  // processor time. Whoever can takes the cell.
  kYield,
};

struct LinkMessage {
  LinkMessageKind m_kind = LinkMessageKind::kPing;
  // Of a request or of a call for advice; 0 for the others.
  std::uint64_t m_number = 0;
  // kHello, kWelcome, kNotOwner: the sender's instance.
  std::string m_instance;
  // kHello: the sender's processor time, in thousandths of a core.
  std::int64_t m_power_millis = 0;
  CellRequest m_request;
  CellAnswer m_answer;
  AskAdvice m_ask;
  AdviceAnswer m_advice;
};

RpcMessage EncodeLinkMessage(const LinkMessage& message);
// Errors: kInvalidArgument for a message that EncodeLinkMessage did not make.
Result<LinkMessage> DecodeLinkMessage(const RpcMessage& message);

}  // namespace mustardslip
