// Requests that an entry forwards to the owner of a cell for a caller, and the
// messages between daemons that carry them.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "cell/cell_types.h"
#include "cell/owner_record.h"
#include "cell/workflow.h"
#include "transport/message.h"
#include "transport/traffic_meter.h"

namespace mustardslip {

enum class CellMethod : std::uint8_t {
  kSubmit,
  kCancel,
  kLookup,
  kCount,
  kExplain,  // A dry run of kSubmit.
};

// True if requests of this method carry a job.
inline bool CarriesJob(CellMethod method) {
  return method == CellMethod::kSubmit || method == CellMethod::kExplain;
}

struct CellRequest {
  CellMethod m_method = CellMethod::kLookup;
  std::string m_queue;
  std::string m_job;
  // Only if CarriesJob(m_method).
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
  kAdviceRequest,
  kAdviceAnswer,
  // The owner asks the receiver to take over the cell: the owner cannot write
  // to the store, or the receiver has far more processor time.
  kTakeoverRequest,
  // A daemon that cannot read the owner's record asks another one for it;
  // answered by kOwnerHint.
  kOwnerQuery,
  kOwnerHint,
};

struct LinkMessage {
  LinkMessageKind m_kind = LinkMessageKind::kPing;
  // Number of the request or of the advice call; 0 for other kinds.
  std::uint64_t m_number = 0;
  // kHello, kWelcome, kNotOwner: the sender's instance.
  std::string m_instance;
  // kHello: the sender's processor capacity, in thousandths of a core.
  std::int64_t m_cpu_millis = 0;
  // kHello: where the sender listens for links.
  std::string m_link_address;
  // kPing of an owner: the store does not take its writes.
  bool m_store_away = false;
  // kPing of an owner: where some of the cell's daemons listen for links; empty
  // in most pings.
  std::vector<std::string> m_daemons;
  CellRequest m_request;
  CellAnswer m_answer;
  AdviceRequest m_advice_request;
  AdviceAnswer m_advice;
  // kOwnerHint: empty if the sender is connected to no owner.
  std::optional<OwnerRecord> m_owner;
};

// What an encoded message is for, by its kind.
TrafficPurpose PurposeOf(const RpcMessage& message);

RpcMessage EncodeLinkMessage(const LinkMessage& message);
// Errors: kInvalidArgument for a message that EncodeLinkMessage did not make.
Result<LinkMessage> DecodeLinkMessage(const RpcMessage& message);

}  // namespace mustardslip
