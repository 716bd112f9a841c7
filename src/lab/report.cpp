#include "lab/report.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <vector>

namespace mothring::lab {

namespace {

using Json = nlohmann::ordered_json;

double ratio(double part, double whole) { return whole > 0 ? part / whole : 0; }
double crossed(const Tally& t) {
    return ratio(static_cast<double>(t.crossed), static_cast<double>(t[End::served]));
}
double ms(std::uint64_t us) { return static_cast<double>(us) / 1000; }

Json json_of(const Tally& t) {
    Json json{{"requests", t.all()}};
    for (std::size_t i = 0; i < kEnds; ++i) json[kEndNames[i]] = t.ends[i];
    json["on_time"] = t.on_time;
    json["cross_zone_share"] = crossed(t);
    json["latency_ms"] = {{"p50", ms(t.latency.percentile(0.5))},
                          {"p90", ms(t.latency.percentile(0.9))},
                          {"p99", ms(t.latency.percentile(0.99))},
                          {"p999", ms(t.latency.percentile(0.999))},
                          {"max", ms(t.latency.max())}};
    return json;
}

Json series_of(const std::vector<Tally>& seconds) {
    Json series = Json::object();
    for (std::size_t i = 0; i < kEnds; ++i) {
        Json& row = series[kEndNames[i]] = Json::array();
        for (const Tally& t : seconds) row.push_back(t.ends[i]);
    }
    for (const auto& [name, share] : {std::pair("p50_ms", 0.5), std::pair("p99_ms", 0.99)}) {
        Json& row = series[name] = Json::array();
        for (const Tally& t : seconds) row.push_back(ms(t.latency.percentile(share)));
    }
    Json& row = series["cross_zone_share"] = Json::array();
    for (const Tally& t : seconds) row.push_back(crossed(t));
    return series;
}

// Returns the value at the given share (0 to 1) of the sorted values, or 0 if there is none.
double at_share(const std::vector<double>& sorted, double share) {
    if (sorted.empty()) return 0;
    const auto rank = static_cast<std::size_t>(std::lround(share * static_cast<double>(sorted.size() - 1)));
    return sorted[rank];
}

Json membership(const Report& r) {
    Json detections = Json::array();
    for (const auto& d : r.detections)
        detections.push_back({{"member", d.member},
                              {"killed_ms", d.at},
                              {"observers", d.observers},
                              {"told", d.after.size()},
                              {"p50_ms", at_share(d.after, 0.5)},
                              {"p99_ms", at_share(d.after, 0.99)},
                              {"max_ms", at_share(d.after, 1)}});
    // Each event's count and last time. After a fault has ended, the last time shows when the members' views
    // became consistent again.
    Json events = Json::object();
    for (const auto& e : r.events) {
        Json& summary = events[e.event];
        if (summary.is_null()) summary = {{"count", 0}};
        summary["count"] = summary["count"].get<std::size_t>() + 1;
        summary["last_ms"] = e.at;
    }
    std::vector<double> bytes = r.cluster_bytes_per_s;
    std::sort(bytes.begin(), bytes.end());
    return {{"detections", std::move(detections)},
            {"events", std::move(events)},
            {"bytes_sent_per_s", {{"p50", at_share(bytes, 0.5)}, {"max", at_share(bytes, 1)}}}};
}

// ---- Plots

constexpr double kWidth = 860, kHeight = 210, kLeft = 56, kRight = 12, kTop = 12, kBottom = 30;

std::string escaped(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (c == '&')
            out += "&amp;";
        else if (c == '<')
            out += "&lt;";
        else if (c == '>')
            out += "&gt;";
        else
            out += c;
    }
    return out;
}

std::string figure(double value) {
    char text[32];
    std::snprintf(text, sizeof text, value >= 100 ? "%.0f" : "%.3g", value);
    return text;
}

struct Line {
    std::string name, color;
    std::vector<double> values;  // one per second
};

// Returns an SVG plot of time series, with the periods of the faults shaded in the background. The value axis
// is linear and starts at 0.
std::string plot(const std::string& title, const std::vector<Line>& lines,
                 const std::vector<Report::Band>& bands, double seconds) {
    double top = 0;
    for (const Line& line : lines)
        for (const double value : line.values) top = std::max(top, value);
    if (top <= 0) top = 1;
    seconds = std::max(seconds, 1.0);
    const double width = kWidth - kLeft - kRight, height = kHeight - kTop - kBottom;
    const auto x = [&](double t) { return kLeft + width * std::min(1.0, t / seconds); };
    const auto y = [&](double v) { return kTop + height * (1 - v / top); };
    std::ostringstream svg;
    svg << "<h2>" << escaped(title) << "</h2>\n<svg viewBox=\"0 0 " << kWidth << ' ' << kHeight
        << "\" role=\"img\" aria-label=\"" << escaped(title) << "\">\n";
    for (const Report::Band& band : bands)
        svg << "<rect class=\"band\" x=\"" << x(band.from / 1000) << "\" y=\"" << kTop << "\" width=\""
            << std::max(1.0, x(band.to / 1000) - x(band.from / 1000)) << "\" height=\"" << height
            << "\"><title>" << escaped(band.what) << "</title></rect>\n<text class=\"what\" x=\""
            << x(band.from / 1000) + 3 << "\" y=\"" << kTop + 11 << "\">" << escaped(band.what)
            << "</text>\n";
    for (int i = 0; i <= 4; ++i) {
        const double value = top * i / 4;
        svg << "<line class=\"grid\" x1=\"" << kLeft << "\" x2=\"" << kWidth - kRight << "\" y1=\""
            << y(value) << "\" y2=\"" << y(value) << "\"/><text x=\"" << kLeft - 6 << "\" y=\""
            << y(value) + 4 << "\" text-anchor=\"end\">" << figure(value) << "</text>\n";
    }
    for (int i = 0; i <= 10; ++i)
        svg << "<text x=\"" << x(seconds * i / 10) << "\" y=\"" << kHeight - 10
            << "\" text-anchor=\"middle\">" << figure(seconds * i / 10) << (i == 10 ? " s" : "")
            << "</text>\n";
    for (const Line& line : lines) {  // a last, incomplete second is not drawn
        svg << "<polyline fill=\"none\" stroke=\"" << line.color << "\" stroke-width=\"1.6\" points=\"";
        for (std::size_t i = 0; i < line.values.size() && static_cast<double>(i) + 1 <= seconds; ++i)
            svg << x(static_cast<double>(i) + 0.5) << ',' << y(line.values[i]) << ' ';
        svg << "\"/>\n";
    }
    svg << "</svg>\n<p class=\"legend\">";
    for (const Line& line : lines)
        svg << "<span style=\"color:" << line.color << "\">&#9632;</span> " << escaped(line.name) << " ";
    svg << "</p>\n";
    return svg.str();
}

template <class Value>
std::vector<double> values(const std::vector<Tally>& seconds, Value value) {
    std::vector<double> out;
    out.reserve(seconds.size());
    for (const Tally& t : seconds) out.push_back(value(t));
    return out;
}

}  // namespace

Json to_json(const Report& r) {
    const ClientTally all = r.clients();
    Json json{{"name", r.name},
              {"seed", r.seed},
              {"played_ms", r.played},
              {"interrupted", r.interrupted},
              {"overall", json_of(all.all)}};
    Json& overall = json["overall"];
    overall["attempts"] = r.attempts;
    overall["attempts_per_request"] =
        ratio(static_cast<double>(r.attempts), static_cast<double>(all.all.all()));
    Json& by_attempts = overall["requests_by_attempts"] = Json::object();
    for (const auto& [attempts, requests] : r.by_attempts) by_attempts[std::to_string(attempts)] = requests;
    json["rules"] = {{"once_repeated", r.once_repeated},
                     {"wrong_answers", all.all[End::wrong]},
                     {"sidecars_ended_badly", std::count_if(r.sidecars.begin(), r.sidecars.end(),
                                                            [](const auto& s) { return s.ended_badly; })}};
    json["cost"] = {{"sidecars_cpu_s", r.sidecars_cpu_s()},
                    {"lab_cpu_s", r.lab_cpu_s},
                    {"lab_to_sidecars", ratio(r.lab_cpu_s, r.sidecars_cpu_s())},
                    {"relay_connections", r.relay.connections},
                    {"relay_bytes", r.relay.bytes},
                    {"relay_datagrams", r.relay.datagrams},
                    {"relay_datagrams_lost", r.relay.datagrams_lost},
                    {"discovery_calls", r.discovery_calls}};
    Json& faults = json["faults"] = Json::array();
    for (const auto& f : r.faults) faults.push_back({{"kind", f.what}, {"from_ms", f.from}, {"to_ms", f.to}});
    if (!r.cluster_bytes_per_s.empty()) json["membership"] = membership(r);
    json["seconds"] = series_of(all.seconds);
    Json& sidecars = json["sidecars"] = Json::array();
    for (const auto& s : r.sidecars) {
        Json entry{{"name", s.name}, {"zone", s.zone}};
        entry.update(json_of(s.clients.all));
        entry["cpu_s"] = s.usage.cpu_s;
        entry["memory_kb"] = s.usage.memory_kb;
        entry["starts"] = s.starts;
        entry["ended_badly"] = s.ended_badly;
        entry["seconds"] = series_of(s.clients.seconds);
        sidecars.push_back(std::move(entry));
    }
    Json& servers = json["servers"] = Json::array();
    for (const auto& s : r.servers)
        servers.push_back({{"name", s.name},
                           {"zone", s.zone},
                           {"arrived", s.counts.arrived},
                           {"served", s.counts.served},
                           {"errors", s.counts.errors},
                           {"turned_away", s.counts.turned_away},
                           {"resets", s.counts.resets},
                           {"silent", s.counts.silent},
                           {"most_at_work", s.counts.most_at_work},
                           {"arrived_by_second", s.counts.seconds}});
    return json;
}

std::string to_html(const Report& r) {
    const ClientTally all = r.clients();
    const double seconds = r.played / 1000;
    std::ostringstream page;
    page << "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>" << escaped(r.name)
         << "</title><style>body{font:14px sans-serif;max-width:900px;margin:1em auto;padding:0 1em}"
            "h2{font-size:15px;margin:1.2em 0 .2em}svg{width:100%}svg text{font-size:11px;fill:#444}"
            ".grid{stroke:#ddd}.band{fill:#f6d9a8;opacity:.5}svg .what{fill:#8a5a00}.legend{margin:.1em 0}"
            "table{border-collapse:collapse}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid "
            "#ddd}th:first-child,td:first-child{text-align:left}</style>\n<h1>"
         << escaped(r.name) << "</h1>\n<p>" << r.sidecars.size() << " sidecars, " << r.servers.size()
         << " servers, " << figure(seconds) << " s" << (r.interrupted ? ", interrupted" : "") << "; "
         << all.all.all() << " requests, " << all.all[End::served] << " served, cross-zone share "
         << figure(crossed(all.all)) << ", "
         << figure(ratio(static_cast<double>(r.attempts), static_cast<double>(all.all.all())))
         << " attempts a request; the lab took " << figure(ratio(r.lab_cpu_s, r.sidecars_cpu_s()))
         << " of the sidecars' CPU.</p>\n";
    static const char* const colors[kEnds] = {"#2a7f3f", "#c98a00", "#b3261e", "#6a1b9a",
                                              "#000000", "#777777", "#e91e63"};
    std::vector<Line> ends;
    for (std::size_t i = 0; i < kEnds; ++i)
        if (all.all.ends[i] > 0)
            ends.push_back({kEndNames[i], colors[i], values(all.seconds, [i](const Tally& t) {
                                return static_cast<double>(t.ends[i]);
                            })});
    page << plot("Requests a second, by ending", ends, r.faults, seconds);
    const auto latency = [](double share) {
        return [share](const Tally& t) { return ms(t.latency.percentile(share)); };
    };
    page << plot("Latency of those served, ms",
                 {{"p50", "#1565c0", values(all.seconds, latency(0.5))},
                  {"p99", "#b3261e", values(all.seconds, latency(0.99))}},
                 r.faults, seconds);
    page << plot("Share served from another zone", {{"cross-zone", "#6a1b9a", values(all.seconds, crossed)}},
                 r.faults, seconds);
    std::map<std::string, std::vector<double>> zones;
    for (const auto& s : r.servers) {
        auto& sum = zones[s.zone];
        if (sum.size() < s.counts.seconds.size()) sum.resize(s.counts.seconds.size());
        for (std::size_t i = 0; i < s.counts.seconds.size(); ++i)
            sum[i] += static_cast<double>(s.counts.seconds[i]);
    }
    std::vector<Line> arrivals;
    arrivals.reserve(zones.size());
    for (const auto& [zone, series] : zones)
        arrivals.push_back({"zone " + zone, colors[arrivals.size() % kEnds], series});
    page << plot("Attempts arriving a second, by the servers' zone", arrivals, r.faults, seconds);
    page << "<h2>Sidecars</h2>\n<table><tr><th>name<th>zone<th>requests<th>served<th>refused<th>failed<th>"
            "timed out<th>lost<th>p50 ms<th>p99 ms<th>cross-zone<th>CPU s<th>MB<th>starts</tr>\n";
    for (const auto& s : r.sidecars) {
        const Tally& t = s.clients.all;
        page << "<tr><td>" << escaped(s.name) << "<td>" << escaped(s.zone) << "<td>" << t.all() << "<td>"
             << t[End::served] << "<td>" << t[End::refused] << "<td>" << t[End::failed] << "<td>"
             << t[End::timed_out] << "<td>" << t[End::lost] << "<td>" << figure(ms(t.latency.percentile(0.5)))
             << "<td>" << figure(ms(t.latency.percentile(0.99))) << "<td>" << figure(crossed(t)) << "<td>"
             << figure(s.usage.cpu_s) << "<td>" << s.usage.memory_kb / 1024 << "<td>" << s.starts
             << "</tr>\n";
    }
    page << "</table>\n</html>\n";
    return page.str();
}

void write(const Report& report, const std::filesystem::path& folder) {
    const auto put = [&](const char* name, const std::string& text) {
        std::ofstream file(folder / name);
        file << text;
        if (!file.flush()) throw std::runtime_error("can't write " + (folder / name).string());
    };
    put("report.json", to_json(report).dump(1) + "\n");
    put("report.html", to_html(report));
}

}  // namespace mothring::lab
