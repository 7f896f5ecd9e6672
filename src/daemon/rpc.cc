/// @file
/// JSON-RPC by libjson-rpc-cpp, compiled as C++14.
//
// Copyright (c) 2026 the limeledge authors.
// SPDX-License-Identifier: MIT

#include "daemon/rpc.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <exception>
#include <utility>

namespace limeledge {

namespace {

bool Parse(const std::string& text, Json::Value* value) {
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), value, nullptr);
}

std::string Write(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

class TransportConnector : public jsonrpc::IClientConnector {
 public:
  explicit TransportConnector(const RpcTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    if (!transport_(message, &result)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

 private:
  const RpcTransport& transport_;
};

/// Hands request texts in and takes response texts out; it listens nowhere.
class TextConnector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }

  bool SendResponse(const std::string& response, void* out) override {
    *static_cast<std::string*>(out) = response;
    return true;
  }
};

}  // namespace

bool CallRpc(const RpcTransport& transport, const std::string& method,
             const std::string& message, std::string* result) {
  try {
    Json::Value parameter;
    if (!Parse(message, &parameter)) return false;
    TransportConnector connector(transport);
    jsonrpc::Client client(connector);
    Json::Value answer;
    client.CallMethod(method, parameter, answer);
    *result = Write(answer);
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

class RpcServer::Impl : public jsonrpc::AbstractServer<RpcServer::Impl> {
 public:
  Impl(TextConnector* connector, RpcHandler heartbeat, RpcHandler settings)
      : jsonrpc::AbstractServer<Impl>(*connector),
        connector_(connector),
        heartbeat_(std::move(heartbeat)),
        settings_(std::move(settings)) {
    Bind(kHeartbeatMethod, &Impl::OnHeartbeat);
    Bind(kSettingsMethod, &Impl::OnSettings);
  }

  void OnHeartbeat(const Json::Value& parameter, Json::Value& result) {
    Run(heartbeat_, parameter, &result);
  }
  void OnSettings(const Json::Value& parameter, Json::Value& result) {
    Run(settings_, parameter, &result);
  }

  std::string Handle(const std::string& request) {
    std::string response;
    connector_->OnRequest(request, &response);
    return response;
  }

 private:
  void Bind(const char* name, methodPointer_t method) {
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     method);
  }

  static void Run(const RpcHandler& handler, const Json::Value& parameter,
                  Json::Value* result) {
    std::string text;
    if (!handler(Write(parameter), &text) || !Parse(text, result)) {
      throw jsonrpc::JsonRpcException(
          jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR);
    }
  }

  std::unique_ptr<TextConnector> connector_;
  RpcHandler heartbeat_;
  RpcHandler settings_;
};

RpcServer::RpcServer(RpcHandler heartbeat, RpcHandler settings)
    : impl_(new Impl(new TextConnector, std::move(heartbeat),
                     std::move(settings))) {}

RpcServer::~RpcServer() = default;

std::string RpcServer::Handle(const std::string& request) {
  return impl_->Handle(request);
}

}  // namespace limeledge
