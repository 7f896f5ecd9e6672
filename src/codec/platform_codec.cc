/// @file
/// Messages to and from the platform's services as compact JSON.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include <utility>

#include "codec/body.h"
#include "codec/json.h"
#include "codec/json_fields.h"
#include "codec/message_codec.h"

namespace limeledge {

namespace {

constexpr Presence kNeeded = Presence::kRequired;
constexpr Presence kMaybe = Presence::kOptional;
constexpr int kMaxUnits = 1 << 20;

Json::Value EncodeRow(const Row& row) {
  Json::Value json(Json::objectValue);
  json["key"] = row.key;
  json["value"] = row.value;
  json["version"] = Json::Int64(row.version.value());
  return json;
}

Row DecodeRow(const Json::Value& json, const std::string& path,
              Findings* findings) {
  Row row;
  JsonFields fields(json, path, findings);
  fields.Text("key", kNeeded, &row.key);
  fields.Text("value", kMaybe, &row.value);
  fields.Integer("version", kNeeded, &row.version);
  return row;
}

Json::Value EncodeWorker(const WorkerInfo& worker) {
  Json::Value json(Json::objectValue);
  json["id"] = worker.id.value();
  json["address"] = worker.address.value();
  json["hall"] = worker.hall.value();
  json["rack"] = worker.rack.value();
  json["accelerators"] = worker.accelerators;
  json["cores"] = worker.cores;
  json["memory_mb"] = Json::Int64(worker.memory_mb);
  json["leaving"] = worker.leaving;
  return json;
}

WorkerInfo DecodeWorker(const Json::Value& json, const std::string& path,
                        Findings* findings) {
  WorkerInfo worker;
  JsonFields fields(json, path, findings);
  fields.Identifier("id", kNeeded, &worker.id);
  fields.Text("address", kNeeded, &worker.address);
  fields.Identifier("hall", kNeeded, &worker.hall);
  fields.Identifier("rack", kNeeded, &worker.rack);
  fields.Integer("accelerators", kNeeded, 0, 64, &worker.accelerators);
  fields.Integer("cores", kNeeded, 0, kMaxUnits, &worker.cores);
  fields.Integer("memory_mb", kNeeded, 0, INT64_MAX, &worker.memory_mb);
  fields.Bool("leaving", kMaybe, &worker.leaving);
  return worker;
}

Json::Value EncodeRunner(const RunnerInfo& runner) {
  Json::Value json(Json::objectValue);
  json["id"] = runner.id.value();
  json["address"] = runner.address.value();
  json["hall"] = runner.hall.value();
  json["slots"] = runner.slots;
  json["connections"] = runner.connections;
  json["leaving"] = runner.leaving;
  return json;
}

RunnerInfo DecodeRunner(const Json::Value& json, const std::string& path,
                        Findings* findings) {
  RunnerInfo runner;
  JsonFields fields(json, path, findings);
  fields.Identifier("id", kNeeded, &runner.id);
  fields.Text("address", kNeeded, &runner.address);
  fields.Identifier("hall", kNeeded, &runner.hall);
  fields.Integer("slots", kNeeded, 1, kMaxUnits, &runner.slots);
  fields.Integer("connections", kNeeded, 1, kMaxUnits, &runner.connections);
  fields.Bool("leaving", kMaybe, &runner.leaving);
  return runner;
}

Json::Value EncodeEntry(const EntryInfo& entry) {
  Json::Value json(Json::objectValue);
  json["id"] = entry.id.value();
  json["peer_address"] = entry.peer_address.value();
  json["hall"] = entry.hall.value();
  json["leaving"] = entry.leaving;
  return json;
}

EntryInfo DecodeEntry(const Json::Value& json, const std::string& path,
                      Findings* findings) {
  EntryInfo entry;
  JsonFields fields(json, path, findings);
  fields.Identifier("id", kNeeded, &entry.id);
  fields.Text("peer_address", kNeeded, &entry.peer_address);
  fields.Identifier("hall", kNeeded, &entry.hall);
  fields.Bool("leaving", kMaybe, &entry.leaving);
  return entry;
}

}  // namespace

std::string EncodeInstanceList(const InstanceList& list) {
  Json::Value json(Json::objectValue);
  Json::Value entries(Json::arrayValue);
  for (const EntryInfo& entry : list.entries) {
    entries.append(EncodeEntry(entry));
  }
  Json::Value workers(Json::arrayValue);
  for (const WorkerInfo& worker : list.workers) {
    workers.append(EncodeWorker(worker));
  }
  Json::Value runners(Json::arrayValue);
  for (const RunnerInfo& runner : list.runners) {
    runners.append(EncodeRunner(runner));
  }
  json["entries"] = entries;
  json["workers"] = workers;
  json["runners"] = runners;
  return WriteJson(json);
}

absl::StatusOr<InstanceList> DecodeInstanceList(const std::string& body) {
  return DecodeBody<InstanceList>(
      body, "instance list",
      [](const Json::Value& json, Findings* findings, InstanceList* value) {
        JsonFields fields(json, "", findings);
        fields.List(
            "entries", kMaybe,
            [&](const Json::Value& element, const std::string& path) {
              value->entries.push_back(DecodeEntry(element, path, findings));
            });
        fields.List(
            "workers", kMaybe,
            [&](const Json::Value& element, const std::string& path) {
              value->workers.push_back(DecodeWorker(element, path, findings));
            });
        fields.List(
            "runners", kMaybe,
            [&](const Json::Value& element, const std::string& path) {
              value->runners.push_back(DecodeRunner(element, path, findings));
            });
      });
}

std::string EncodeTransaction(const Transaction& transaction) {
  Json::Value json(Json::objectValue);
  Json::Value conditions(Json::arrayValue);
  for (const Condition& condition : transaction.conditions) {
    Json::Value entry(Json::objectValue);
    entry["key"] = condition.key;
    entry["version"] = Json::Int64(condition.version.value());
    conditions.append(entry);
  }
  Json::Value writes(Json::arrayValue);
  for (const Write& write : transaction.writes) {
    Json::Value entry(Json::objectValue);
    entry["key"] = write.key;
    entry["value"] = write.value;
    entry["erase"] = write.erase;
    writes.append(entry);
  }
  json["conditions"] = conditions;
  json["writes"] = writes;
  return WriteJson(json);
}

absl::StatusOr<Transaction> DecodeTransaction(const std::string& body) {
  return DecodeBody<Transaction>(
      body, "transaction",
      [](const Json::Value& json, Findings* findings, Transaction* value) {
        JsonFields fields(json, "", findings);
        fields.List("conditions", kNeeded,
                    [&](const Json::Value& element, const std::string& path) {
                      Condition condition;
                      JsonFields entry(element, path, findings);
                      entry.Text("key", kNeeded, &condition.key);
                      entry.Integer("version", kNeeded, &condition.version);
                      value->conditions.push_back(std::move(condition));
                    });
        fields.List("writes", kNeeded,
                    [&](const Json::Value& element, const std::string& path) {
                      Write write;
                      JsonFields entry(element, path, findings);
                      entry.Text("key", kNeeded, &write.key);
                      entry.Text("value", kNeeded, &write.value);
                      entry.Bool("erase", kMaybe, &write.erase);
                      value->writes.push_back(std::move(write));
                    });
      });
}

std::string EncodeTransactionReply(const TransactionReply& reply) {
  Json::Value json(Json::objectValue);
  if (const auto* committed = std::get_if<TransactionCommitted>(&reply)) {
    json["committed"] = Json::Int64(committed->revision.value());
    return WriteJson(json);
  }
  Json::Value rows(Json::arrayValue);
  if (const auto* conflict = std::get_if<TransactionConflict>(&reply)) {
    for (const Row& row : conflict->current) rows.append(EncodeRow(row));
  }
  json["conflict"] = rows;
  return WriteJson(json);
}

absl::StatusOr<TransactionReply> DecodeTransactionReply(
    const std::string& body) {
  return DecodeBody<TransactionReply>(
      body, "transaction reply",
      [](const Json::Value& json, Findings* findings, TransactionReply* value) {
        JsonFields fields(json, "", findings);
        if (json.isObject() && json.isMember("committed")) {
          TransactionCommitted committed;
          fields.Integer("committed", kNeeded, &committed.revision);
          *value = committed;
          return;
        }
        TransactionConflict conflict;
        fields.List(
            "conflict", kNeeded,
            [&](const Json::Value& element, const std::string& path) {
              conflict.current.push_back(DecodeRow(element, path, findings));
            });
        *value = std::move(conflict);
      });
}

std::string EncodeChangedRows(const ChangedRows& changes) {
  Json::Value json(Json::objectValue);
  json["revision"] = Json::Int64(changes.revision.value());
  json["more"] = changes.more;
  Json::Value rows(Json::arrayValue);
  for (const ChangedRow& change : changes.rows) {
    Json::Value entry = EncodeRow(change.row);
    if (change.erased) entry["erased"] = true;
    rows.append(entry);
  }
  json["rows"] = rows;
  return WriteJson(json);
}

absl::StatusOr<ChangedRows> DecodeChangedRows(const std::string& body) {
  return DecodeBody<ChangedRows>(
      body, "changed rows",
      [](const Json::Value& json, Findings* findings, ChangedRows* value) {
        JsonFields fields(json, "", findings);
        fields.Integer("revision", kNeeded, &value->revision);
        fields.Bool("more", kNeeded, &value->more);
        fields.List("rows", kNeeded,
                    [&](const Json::Value& element, const std::string& path) {
                      ChangedRow change;
                      change.row = DecodeRow(element, path, findings);
                      JsonFields entry(element, path, findings);
                      entry.Bool("erased", kMaybe, &change.erased);
                      value->rows.push_back(std::move(change));
                    });
      });
}

}  // namespace limeledge
