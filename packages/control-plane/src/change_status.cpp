#include "emberdale/change_status.hpp"

#include "emberdale/edit_forwarder.hpp"

namespace emberdale {

EditResponse edit_failure(ChangeStatus status, const std::string& reason) {
  EditResponse response;
  response.code = wire_code(status);
  response.body = reason_body(reason, status == ChangeStatus::unknown ? "unknown" : "refused");
  return response;
}

}  // namespace emberdale
