/// @file
/// Token checks.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/access.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <optional>
#include <utility>

#include "absl/strings/escaping.h"
#include "absl/strings/strip.h"

namespace limeledge {

namespace {

bool SameDigest(const std::string& a, const std::string& b) {
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::optional<Principal> FindPrincipal(const Settings& settings,
                                       const std::string& digest) {
  // No early end: the time taken must not tell which digest was close.
  std::optional<Principal> found;
  for (const auto& [id, workspace] : settings.workspaces) {
    for (const std::string& known : workspace.token_digests) {
      if (SameDigest(digest, known)) {
        found = Principal{Role::kWorkspace, id.value(), id};
      }
    }
  }
  for (const OperatorSettings& op : settings.operators) {
    if (!SameDigest(digest, op.token_digest)) continue;
    const Role role =
        op.role == OperatorRole::kAdmin ? Role::kAdmin : Role::kViewer;
    found = Principal{role, op.name, WorkspaceId()};
  }
  return found;
}

}  // namespace

void Access::SetSettings(std::shared_ptr<const Settings> settings) {
  const std::lock_guard<std::mutex> lock(mutex_);
  settings_ = std::move(settings);
}

std::shared_ptr<const Settings> Access::settings() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return settings_;
}

absl::StatusOr<Principal> Access::Check(
    const std::string& authorization) const {
  const std::shared_ptr<const Settings> present = settings();
  if (present == nullptr) {
    return absl::UnavailableError("not run: no settings are in force here yet");
  }
  absl::string_view token = authorization;
  if (!absl::ConsumePrefix(&token, "Bearer ") || token.empty()) {
    return absl::UnauthenticatedError(
        "needs a header 'Authorization: Bearer TOKEN'");
  }
  std::optional<Principal> principal =
      FindPrincipal(*present, TokenDigest(std::string(token)));
  if (!principal.has_value()) {
    return absl::UnauthenticatedError("the token is not known");
  }
  return *std::move(principal);
}

std::string TokenDigest(const std::string& token) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  EVP_Digest(token.data(), token.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), size));
}

}  // namespace limeledge
