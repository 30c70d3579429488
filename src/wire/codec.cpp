#include "eelgrasslever/wire/codec.hpp"

#include "eelgrasslever/wire/peer_generated.h"

#include <algorithm>
#include <array>

namespace eelgrasslever::wire {

namespace {

using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;

struct packed {
    schema::Content type;
    Offset<void> content;
};

packed pack(FlatBufferBuilder& to, const heartbeat& in) {
    auto largest =
        schema::CreateResources(to, in.largest.slots, in.largest.cpu_milli,
                                in.largest.memory_mb, in.largest.accelerators);
    auto fd = to.CreateString(in.failure_domain);
    auto http = to.CreateString(in.http_address);
    auto peer = to.CreateString(in.peer_address);
    auto alive = to.CreateVectorOfStrings(in.alive);
    auto out = schema::CreateHeartbeat(
        to, fd, http, peer, in.sequence, in.echo, in.holdings_seen, in.draining,
        in.left, in.bundle_version, in.list_version, in.platform_reached,
        in.free_slots, largest, in.capacity_slots, alive,
        in.all_endpoints_held);
    return {schema::Content_Heartbeat, out.Union()};
}

packed pack(FlatBufferBuilder& to, const holdings& in) {
    auto endpoints = to.CreateVectorOfStrings(in.endpoints);
    auto out = schema::CreateHoldings(to, in.revision, endpoints);
    return {schema::Content_Holdings, out.Union()};
}

packed pack(FlatBufferBuilder& to, const document& in) {
    auto text = to.CreateString(in.text);
    auto kind = static_cast<std::uint8_t>(in.kind);
    auto out = schema::CreateDocument(to, kind, in.version, text);
    return {schema::Content_Document, out.Union()};
}

packed pack(FlatBufferBuilder& to, const locate_request& in) {
    auto id = to.CreateString(in.request_id);
    auto out =
        schema::CreateLocateRequest(to, in.query, id, in.attach, in.cell_wide);
    return {schema::Content_LocateRequest, out.Union()};
}

packed pack(FlatBufferBuilder& to, const locate_response& in) {
    auto id = to.CreateString(in.request_id);
    auto result = static_cast<std::uint8_t>(in.result);
    auto out =
        schema::CreateLocateResponse(to, in.query, id, result, in.ran_before);
    return {schema::Content_LocateResponse, out.Union()};
}

packed pack(FlatBufferBuilder& to, const request_result& in) {
    auto id = to.CreateString(in.request_id);
    auto body = to.CreateString(in.answer.body);
    auto detail = to.CreateString(in.answer.detail);
    auto ran_at = to.CreateString(in.answer.ran_at);
    auto kind = static_cast<std::uint8_t>(in.kind);
    auto result = static_cast<std::uint8_t>(in.answer.result);
    std::int64_t retry =
        in.answer.retry_after ? in.answer.retry_after->count() : -1;
    auto out = schema::CreateRequestResult(
        to, id, kind, result, body, detail, retry, ran_at,
        in.answer.bundle_version, in.answer.rejected);
    return {schema::Content_RequestResult, out.Union()};
}

packed pack(FlatBufferBuilder& to, const forward& in) {
    auto id = to.CreateString(in.request_id);
    auto text = to.CreateString(in.request_text);
    auto out =
        schema::CreateForward(to, id, text, in.remaining.count(), in.echo);
    return {schema::Content_Forward, out.Union()};
}

packed pack(FlatBufferBuilder& to, const cancel& in) {
    auto id = to.CreateString(in.request_id);
    return {schema::Content_Cancel, schema::CreateCancel(to, id).Union()};
}

packed pack(FlatBufferBuilder& to, const advice_request& in) {
    auto job = to.CreateString(in.job);
    auto candidates = to.CreateVectorOfStrings(in.candidates);
    auto out =
        schema::CreateAdviceRequest(to, in.query, job, in.occurrence, in.step,
                                    candidates, in.timeout.count());
    return {schema::Content_AdviceRequest, out.Union()};
}

packed pack(FlatBufferBuilder& to, const advice_response& in) {
    auto endpoints = to.CreateVectorOfStrings(in.endpoints);
    auto tickets = to.CreateVectorOfStrings(in.tickets);
    auto out = schema::CreateAdviceResponse(to, in.query, in.answered,
                                            endpoints, tickets);
    return {schema::Content_AdviceResponse, out.Union()};
}

packed pack(FlatBufferBuilder& to, const job_request& in) {
    auto id = to.CreateString(in.id);
    auto job = to.CreateString(in.job);
    auto kind = static_cast<std::uint8_t>(in.kind);
    auto out =
        schema::CreateJobRequest(to, in.query, kind, id, job, in.wait.count());
    return {schema::Content_JobRequest, out.Union()};
}

packed pack(FlatBufferBuilder& to, const job_response& in) {
    auto outcome = static_cast<std::uint8_t>(in.outcome);
    std::vector<std::string> names;
    std::vector<std::uint64_t> counts;
    for (const auto& [queue, count] : in.pending) {
        names.push_back(queue);
        counts.push_back(count);
    }
    auto queues = to.CreateVectorOfStrings(names);
    auto pending = to.CreateVector(counts);
    auto out = schema::CreateJobResponse(to, in.query, outcome, in.state,
                                         queues, pending, in.age.count());
    return {schema::Content_JobResponse, out.Union()};
}

packed pack(FlatBufferBuilder& to, const accepted_job_notice& in) {
    auto id = to.CreateString(in.id);
    auto job = to.CreateString(in.job);
    auto out = schema::CreateAcceptedJobNotice(to, in.term, id, job);
    return {schema::Content_AcceptedJobNotice, out.Union()};
}

packed pack(FlatBufferBuilder& to, const completion_notice& in) {
    auto ids = to.CreateVectorOfStrings(in.ids);
    auto states = to.CreateVector(in.states);
    auto out = schema::CreateCompletionNotice(to, ids, states);
    return {schema::Content_CompletionNotice, out.Union()};
}

packed pack(FlatBufferBuilder& to, const lease_report& in) {
    std::vector<std::int64_t> left_ms;
    for (base::milliseconds left : in.left) {
        left_ms.push_back(left.count());
    }
    auto endpoints = to.CreateVectorOfStrings(in.endpoints);
    auto left = to.CreateVector(left_ms);
    auto out = schema::CreateLeaseReport(to, in.term, endpoints, left,
                                         in.others_left.count());
    return {schema::Content_LeaseReport, out.Union()};
}

enum class order_kind : std::uint8_t { start, stop, renew };

Offset<schema::RelayedOrder> pack_order(FlatBufferBuilder& to,
                                        const relayed_order& in) {
    auto endpoint = to.CreateString(in.endpoint);
    auto address = to.CreateString(in.address);
    if (const auto* renewal = std::get_if<cluster::renew_order>(&in.order)) {
        schema::RelayedOrderBuilder out(to);
        out.add_id(in.id);
        out.add_endpoint(endpoint);
        out.add_address(address);
        out.add_token(in.token);
        out.add_kind(static_cast<std::uint8_t>(order_kind::renew));
        out.add_completions_recorded(renewal->completions_recorded);
        out.add_renews_lease(renewal->lease_until.has_value());
        out.add_lease_until_ms(
            renewal->lease_until.value_or(cluster::endpoint_time(0)).count());
        out.add_wait_ms(renewal->wait.count());
        return out.Finish();
    }
    const auto* start = std::get_if<cluster::start_order>(&in.order);
    const auto* stop = std::get_if<cluster::stop_order>(&in.order);
    const cluster::task_key& task = start != nullptr ? start->task : stop->task;
    auto job = to.CreateString(task.job);
    Offset<flatbuffers::String> payload;
    Offset<flatbuffers::String> checkpoint;
    Offset<flatbuffers::String> ticket;
    if (start != nullptr) {
        payload = to.CreateString(start->payload);
        checkpoint = to.CreateString(start->checkpoint);
        ticket = to.CreateString(start->ticket);
    }
    schema::RelayedOrderBuilder out(to);
    out.add_id(in.id);
    out.add_endpoint(endpoint);
    out.add_address(address);
    out.add_token(in.token);
    out.add_kind(static_cast<std::uint8_t>(
        start != nullptr ? order_kind::start : order_kind::stop));
    out.add_job(job);
    out.add_occurrence(task.occurrence);
    out.add_step(task.step);
    out.add_index(task.index);
    out.add_run(start != nullptr ? start->run : stop->run);
    if (start != nullptr) {
        out.add_payload(payload);
        out.add_start_before_ms(start->start_before.count());
        out.add_checkpoint(checkpoint);
        out.add_ticket(ticket);
    }
    return out.Finish();
}

packed pack(FlatBufferBuilder& to, const order_batch& in) {
    std::vector<Offset<schema::RelayedOrder>> rows;
    rows.reserve(in.orders.size());
    for (const relayed_order& each : in.orders) {
        rows.push_back(pack_order(to, each));
    }
    auto orders = to.CreateVector(rows);
    return {schema::Content_OrderBatch,
            schema::CreateOrderBatch(to, in.sequence, orders).Union()};
}

Offset<schema::RelayedReply> pack_reply(FlatBufferBuilder& to,
                                        const relayed_reply& in) {
    const cluster::renew_reply& reply = in.reply;
    std::vector<Offset<schema::RunningTask>> running_rows;
    for (const cluster::running_task& each : reply.running) {
        auto job = to.CreateString(each.task.job);
        auto checkpoint = to.CreateString(each.checkpoint);
        running_rows.push_back(schema::CreateRunningTask(
            to, job, each.task.occurrence, each.task.step, each.task.index,
            each.run, checkpoint, each.percent));
    }
    std::vector<Offset<schema::FinishedTask>> finished_rows;
    for (const cluster::finished_task& each : reply.finished) {
        auto job = to.CreateString(each.task.job);
        auto checkpoint = to.CreateString(each.checkpoint);
        finished_rows.push_back(schema::CreateFinishedTask(
            to, each.sequence, job, each.task.occurrence, each.task.step,
            each.task.index, each.run, static_cast<std::uint8_t>(each.outcome),
            checkpoint));
    }
    auto answered_by = to.CreateString(reply.answered_by);
    auto running = to.CreateVector(running_rows);
    auto finished = to.CreateVector(finished_rows);
    return schema::CreateRelayedReply(
        to, in.id, static_cast<std::uint8_t>(reply.status),
        reply.clock.has_value(),
        reply.clock.value_or(cluster::endpoint_time(0)).count(), answered_by,
        running, finished, reply.finished_truncated);
}

packed pack(FlatBufferBuilder& to, const reply_batch& in) {
    std::vector<Offset<schema::RelayedReply>> rows;
    rows.reserve(in.replies.size());
    for (const relayed_reply& each : in.replies) {
        rows.push_back(pack_reply(to, each));
    }
    auto replies = to.CreateVector(rows);
    return {schema::Content_ReplyBatch,
            schema::CreateReplyBatch(to, in.received, replies).Union()};
}

std::string text(const flatbuffers::String* in) {
    return in == nullptr ? std::string() : in->str();
}

std::vector<std::string>
texts(const flatbuffers::Vector<Offset<flatbuffers::String>>* in) {
    std::vector<std::string> out;
    if (in == nullptr) {
        return out;
    }
    for (const flatbuffers::String* item : *in) {
        out.push_back(text(item));
    }
    return out;
}

heartbeat unpack(const schema::Heartbeat& in) {
    heartbeat out;
    out.failure_domain = text(in.failure_domain());
    out.http_address = text(in.http_address());
    out.peer_address = text(in.peer_address());
    out.sequence = in.sequence();
    out.echo = in.echo();
    out.holdings_seen = in.holdings_seen();
    out.draining = in.draining();
    out.left = in.left();
    out.bundle_version = in.bundle_version();
    out.list_version = in.list_version();
    out.platform_reached = in.platform_reached();
    out.free_slots = in.free_slots();
    if (const schema::Resources* largest = in.largest()) {
        out.largest = {largest->slots(), largest->cpu_milli(),
                       largest->memory_mb(), largest->accelerators()};
    }
    out.capacity_slots = in.capacity_slots();
    out.alive = texts(in.alive());
    out.all_endpoints_held = in.settled();
    return out;
}

request_result unpack(const schema::RequestResult& in) {
    request_result out;
    out.request_id = text(in.request_id());
    out.kind =
        in.kind() <= static_cast<std::uint8_t>(request_result_kind::refused)
            ? static_cast<request_result_kind>(in.kind())
            : request_result_kind::answered;
    auto highest = static_cast<std::uint8_t>(base::outcome::unknown);
    out.answer.result = in.outcome() <= highest
                            ? static_cast<base::outcome>(in.outcome())
                            : base::outcome::unknown;
    out.answer.body = text(in.body());
    out.answer.detail = text(in.detail());
    if (in.retry_after_ms() >= 0) {
        out.answer.retry_after = base::milliseconds(in.retry_after_ms());
    }
    out.answer.ran_at = text(in.ran_at());
    out.answer.bundle_version = in.bundle_version();
    out.answer.rejected = in.rejected();
    return out;
}

locate_response unpack(const schema::LocateResponse& in) {
    auto highest = static_cast<std::uint8_t>(locate_result::undecided);
    // A value added by a newer version must not be mistaken for `unknown`.
    locate_result result = in.verdict() <= highest
                               ? static_cast<locate_result>(in.verdict())
                               : locate_result::undecided;
    return {in.query(), text(in.request_id()), result, in.ran_before()};
}

std::optional<message> unpack(const schema::JobRequest& in) {
    if (in.kind() > static_cast<std::uint8_t>(job_request_kind::count)) {
        return std::nullopt;
    }
    return job_request{in.query(), static_cast<job_request_kind>(in.kind()),
                       text(in.id()), text(in.job()),
                       base::milliseconds(in.wait_ms())};
}

std::optional<message> unpack(const schema::JobResponse& in) {
    if (in.outcome() >
        static_cast<std::uint8_t>(job_request_outcome::rejected)) {
        return std::nullopt;
    }
    job_response out{in.query(),
                     static_cast<job_request_outcome>(in.outcome()),
                     in.state(),
                     {},
                     base::milliseconds(in.age_ms())};
    auto queues = texts(in.queues());
    std::size_t rows =
        in.pending() == nullptr
            ? 0
            : std::min<std::size_t>(queues.size(), in.pending()->size());
    for (std::size_t i = 0; i < rows; ++i) {
        out.pending[queues[i]] = (*in.pending())[static_cast<unsigned>(i)];
    }
    return out;
}

template <typename Row>
cluster::task_key unpack_task(const Row& in) {
    return {text(in.job()), in.occurrence(), in.step(), in.index()};
}

/// @return nothing if the order is of a kind that a newer version added.
std::optional<relayed_order> unpack_order(const schema::RelayedOrder& in) {
    relayed_order out{
        in.id(), text(in.endpoint()), text(in.address()), in.token(), {}};
    switch (static_cast<order_kind>(in.kind())) {
    case order_kind::start:
        out.order = cluster::start_order{
            unpack_task(in),       in.run(),
            text(in.payload()),    cluster::endpoint_time(in.start_before_ms()),
            text(in.checkpoint()), text(in.ticket())};
        return out;
    case order_kind::stop:
        out.order = cluster::stop_order{unpack_task(in), in.run()};
        return out;
    case order_kind::renew: {
        cluster::renew_order renewal;
        renewal.completions_recorded = in.completions_recorded();
        if (in.renews_lease()) {
            renewal.lease_until = cluster::endpoint_time(in.lease_until_ms());
        }
        renewal.wait = base::milliseconds(in.wait_ms());
        out.order = renewal;
        return out;
    }
    }
    return std::nullopt;
}

std::optional<message> unpack(const schema::OrderBatch& in) {
    order_batch out;
    out.sequence = in.sequence();
    if (in.orders() == nullptr) {
        return out;
    }
    out.orders.reserve(in.orders()->size());
    for (const schema::RelayedOrder* row : *in.orders()) {
        auto order = unpack_order(*row);
        if (!order) {
            return std::nullopt;
        }
        out.orders.push_back(*std::move(order));
    }
    return out;
}

/// @return nothing if the status or an outcome is not known.
std::optional<relayed_reply> unpack_reply(const schema::RelayedReply& in) {
    if (in.status() >
        static_cast<std::uint8_t>(cluster::order_status::unreachable)) {
        return std::nullopt;
    }
    relayed_reply out;
    out.id = in.id();
    cluster::renew_reply& reply = out.reply;
    reply.status = static_cast<cluster::order_status>(in.status());
    reply.answered_by = text(in.answered_by());
    if (in.has_clock()) {
        reply.clock = cluster::endpoint_time(in.clock_ms());
    }
    reply.finished_truncated = in.finished_truncated();
    if (in.running() != nullptr) {
        reply.running.reserve(in.running()->size());
        for (const schema::RunningTask* row : *in.running()) {
            reply.running.push_back({unpack_task(*row), row->run(),
                                     text(row->checkpoint()), row->percent()});
        }
    }
    if (in.finished() == nullptr) {
        return out;
    }
    reply.finished.reserve(in.finished()->size());
    for (const schema::FinishedTask* row : *in.finished()) {
        if (row->outcome() >
            static_cast<std::uint8_t>(cluster::task_outcome::gang_alone)) {
            return std::nullopt;
        }
        reply.finished.push_back(
            {row->sequence(), unpack_task(*row), row->run(),
             static_cast<cluster::task_outcome>(row->outcome()),
             text(row->checkpoint())});
    }
    return out;
}

std::optional<message> unpack(const schema::ReplyBatch& in) {
    reply_batch out;
    out.received = in.received();
    if (in.replies() == nullptr) {
        return out;
    }
    out.replies.reserve(in.replies()->size());
    for (const schema::RelayedReply* row : *in.replies()) {
        auto reply = unpack_reply(*row);
        if (!reply) {
            return std::nullopt;
        }
        out.replies.push_back(*std::move(reply));
    }
    return out;
}

std::optional<message> unpack(const schema::Envelope& in) {
    switch (in.content_type()) {
    case schema::Content_Heartbeat:
        return unpack(*in.content_as_Heartbeat());
    case schema::Content_Holdings: {
        const auto* from = in.content_as_Holdings();
        return holdings{from->revision(), texts(from->endpoints())};
    }
    case schema::Content_Document: {
        const auto* from = in.content_as_Document();
        auto kind =
            from->kind() == 0 ? document_kind::bundle : document_kind::vm_list;
        return document{kind, from->version(), text(from->text())};
    }
    case schema::Content_LocateRequest: {
        const auto* from = in.content_as_LocateRequest();
        return locate_request{from->query(), text(from->request_id()),
                              from->attach(), from->cell_wide()};
    }
    case schema::Content_LocateResponse:
        return unpack(*in.content_as_LocateResponse());
    case schema::Content_RequestResult:
        return unpack(*in.content_as_RequestResult());
    case schema::Content_Forward: {
        const auto* from = in.content_as_Forward();
        return forward{text(from->request_id()), text(from->request_text()),
                       base::milliseconds(from->remaining_ms()), from->echo()};
    }
    case schema::Content_Cancel:
        return cancel{text(in.content_as_Cancel()->request_id())};
    case schema::Content_AdviceRequest: {
        const auto* from = in.content_as_AdviceRequest();
        return advice_request{from->query(),
                              text(from->job()),
                              from->occurrence(),
                              from->step(),
                              texts(from->candidates()),
                              base::milliseconds(from->timeout_ms())};
    }
    case schema::Content_AdviceResponse: {
        const auto* from = in.content_as_AdviceResponse();
        return advice_response{from->query(), from->answered(),
                               texts(from->endpoints()),
                               texts(from->tickets())};
    }
    case schema::Content_JobRequest:
        return unpack(*in.content_as_JobRequest());
    case schema::Content_JobResponse:
        return unpack(*in.content_as_JobResponse());
    case schema::Content_AcceptedJobNotice: {
        const auto* from = in.content_as_AcceptedJobNotice();
        return accepted_job_notice{from->term(), text(from->id()),
                                   text(from->job())};
    }
    case schema::Content_CompletionNotice: {
        const auto* from = in.content_as_CompletionNotice();
        completion_notice out{texts(from->ids()), {}};
        if (from->states() != nullptr) {
            out.states.assign(from->states()->begin(), from->states()->end());
        }
        return out;
    }
    case schema::Content_LeaseReport: {
        const auto* from = in.content_as_LeaseReport();
        lease_report out;
        out.term = from->term();
        out.endpoints = texts(from->endpoints());
        out.others_left = base::milliseconds(from->others_left_ms());
        if (from->left_ms() != nullptr) {
            for (std::int64_t left : *from->left_ms()) {
                out.left.emplace_back(left);
            }
        }
        return out;
    }
    case schema::Content_OrderBatch:
        return unpack(*in.content_as_OrderBatch());
    case schema::Content_ReplyBatch:
        return unpack(*in.content_as_ReplyBatch());
    case schema::Content_NONE:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::string encode(const envelope& value) {
    FlatBufferBuilder builder;
    auto from = builder.CreateString(value.from);
    packed content =
        std::visit([&builder](const auto& item) { return pack(builder, item); },
                   value.content);
    builder.Finish(
        schema::CreateEnvelope(builder, from, content.type, content.content));
    std::size_t size = builder.GetSize();
    std::string out;
    out.reserve(frame_header_bytes + size);
    for (std::size_t byte = 0; byte < frame_header_bytes; ++byte) {
        out.push_back(static_cast<char>((size >> (8 * byte)) & 0xFF));
    }
    out.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
    return out;
}

base::result<envelope> decode(std::string_view content) {
    flatbuffers::Verifier verifier(
        reinterpret_cast<const std::uint8_t*>(content.data()), content.size());
    if (!schema::VerifyEnvelopeBuffer(verifier)) {
        return base::fail(base::error_code::invalid_argument, "wire.decode",
                          "peer", "the frame is not a valid envelope");
    }
    const schema::Envelope& in = *schema::GetEnvelope(content.data());
    auto unpacked = unpack(in);
    if (!unpacked) {
        return base::fail(base::error_code::invalid_argument, "wire.decode",
                          text(in.from()), "unknown message type");
    }
    return envelope{text(in.from()), *std::move(unpacked)};
}

base::result<std::optional<std::string>> frame_reader::next() {
    if (m_buffer.size() < frame_header_bytes) {
        return std::nullopt;
    }
    std::size_t size = 0;
    for (std::size_t byte = 0; byte < frame_header_bytes; ++byte) {
        auto part = static_cast<unsigned char>(m_buffer[byte]);
        size |= static_cast<std::size_t>(part) << (8 * byte);
    }
    if (size > max_frame_bytes) {
        return base::fail(
            base::error_code::invalid_argument, "wire.read", "peer",
            "frame of " + std::to_string(size) + " bytes exceeds the limit");
    }
    if (m_buffer.size() < frame_header_bytes + size) {
        return std::nullopt;
    }
    std::string out = m_buffer.substr(frame_header_bytes, size);
    m_buffer.erase(0, frame_header_bytes + size);
    return out;
}

} // namespace eelgrasslever::wire
