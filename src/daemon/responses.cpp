#include "eelgrasslever/daemon/responses.hpp"
#include "eelgrasslever/http/code.hpp"

#include <nlohmann/json.hpp>

namespace eelgrasslever::daemon {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

int status_code_for(const base::answer& answer) {
    if (answer.rejected) {
        return http::code::unprocessable;
    }
    switch (answer.result) {
    case base::outcome::completed:
        return http::code::ok;
    case base::outcome::failed:
        return http::code::internal_error;
    case base::outcome::not_run:
        return http::code::unavailable;
    case base::outcome::unknown:
        return http::code::gateway_timeout;
    }
    return http::code::gateway_timeout;
}

const char* title_for(const base::answer& answer) {
    if (answer.rejected) {
        return "the request is invalid";
    }
    switch (answer.result) {
    case base::outcome::completed:
        return "the request ran and completed";
    case base::outcome::failed:
        return "the request ran and did not complete";
    case base::outcome::not_run:
        return "the request was not run";
    case base::outcome::unknown:
        return "the request may have run";
    }
    return "";
}

void add_retry_after(http::response& out, base::milliseconds wait) {
    std::int64_t seconds =
        (wait.count() + milliseconds_per_second - 1) / milliseconds_per_second;
    out.headers.push_back({"Retry-After", std::to_string(seconds)});
}

} // namespace

http::response json_response(std::string body) {
    http::response out;
    out.body = std::move(body);
    out.body += '\n';
    return out;
}

http::response answer_response(const std::string& id,
                               const base::answer& answer) {
    http::response out;
    out.status = status_code_for(answer);
    nlohmann::json body = answer;
    body["id"] = id;
    if (answer.result != base::outcome::completed) {
        out.content_type = "application/problem+json";
        body["title"] = title_for(answer);
        body["status"] = out.status;
    }
    if (answer.retry_after) {
        add_retry_after(out, *answer.retry_after);
    }
    out.body = body.dump() + "\n";
    return out;
}

http::response status_response(const std::string& id,
                               const base::answer& answer) {
    if (answer.rejected && answer.result == base::outcome::unknown) {
        return problem_response(http::code::not_found, "no such request",
                                "no reachable entry VM has a record of it");
    }
    nlohmann::json body = answer;
    body["id"] = id;
    body["state"] = "answered";
    http::response out = json_response(body.dump());
    if (answer.retry_after) {
        add_retry_after(out, *answer.retry_after);
    }
    return out;
}

http::response accepted_response(const std::string& id) {
    http::response out;
    out.status = http::code::accepted;
    out.headers.push_back({"Location", "/v1/requests/" + id});
    out.body = nlohmann::json{{"id", id}, {"state", "accepted"}}.dump() + "\n";
    return out;
}

http::response problem_response(int status, const std::string& title,
                                const std::string& detail) {
    http::response out;
    out.status = status;
    out.content_type = "application/problem+json";
    out.body =
        nlohmann::json{{"title", title}, {"status", status}, {"detail", detail}}
            .dump() +
        "\n";
    return out;
}

http::response error_response(const base::error& error) {
    int status = http::code::internal_error;
    switch (error.code) {
    case base::error_code::invalid_argument:
        status = http::code::bad_request;
        break;
    case base::error_code::not_permitted:
        status = http::code::forbidden;
        break;
    case base::error_code::conflict:
        status = http::code::conflict;
        break;
    case base::error_code::unreachable:
    case base::error_code::refused:
        status = http::code::unavailable;
        break;
    case base::error_code::io:
        break;
    }
    return problem_response(status, error.step + " failed", error.detail);
}

} // namespace eelgrasslever::daemon
