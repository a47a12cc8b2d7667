//! Selection of the log lines that explain one request, from the logs of
//! several processes.
//!
//! Entries log a request under the id that its caller set, and under the ids of
//! its attempts, by which agents know the request. The lines with any of these
//! ids, ordered by time, show each decision and its inputs. A request that takes up a stream is
//! shown with the one that began it and the others that took it up. Lines without such
//! an id can still show a cause: orders to load the request's adapter while the
//! request waited, and the loss of the upstream that the request was sent to.

use std::collections::BTreeSet;
use std::time::Duration;

/// Field with the request id that the caller set.
const CALLER_ID_FIELD: &str = "id";

/// Field with the id of an attempt, as agents log it.
const ATTEMPT_ID_FIELD: &str = "request";

/// Field with the caller's id of the request that began the stream which a request takes up.
const RESUMES_FIELD: &str = "resumes";

/// Field with the timestamp of a line, in Unix milliseconds.
const TIMESTAMP_FIELD: &str = "ts_ms";

/// Fields with the time since the request or attempt started, in milliseconds.
const ELAPSED_FIELDS: [&str; 2] = ["took_ms", "waited_ms"];

/// Events that report the loss of an upstream by its name, or of the agent beside it.
const UPSTREAM_LOST_EVENTS: [&str; 5] = [
    "agent silent",
    "engine given up",
    "engine not reached",
    "upstream gone",
    "upstream not reached",
];

/// Events by which an agent reports the loss of its engine.
const ENGINE_LOST_EVENTS: [&str; 2] = ["engine lost", "engine restarted"];

/// Time before a request in which the load of its adapter can have started, and
/// after the request in which the loss of its upstream can become known: the
/// lease of 3 s that the users specify, and the same again for propagation.
const CAUSE_WINDOW: Duration = Duration::from_secs(6);

/// Line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    timestamp_ms: u64,
    elapsed_ms: u64,
    text: Box<str>,
    event: Box<str>,
    node: Option<Box<str>>,
    caller_id: Option<Box<str>>,
    attempt_id: Option<Box<str>>,
    /// Caller's id of the request that began the stream, if the request takes a stream up.
    resumes: Option<Box<str>>,
    order: Option<Box<str>>,
    target: Option<Box<str>>,
    upstream: Option<Box<str>>,
}

impl LogLine {
    /// Parses a line of `key=value` pairs, or returns `None` if the line has no
    /// valid timestamp.
    pub fn parse(text: &str) -> Option<Self> {
        let pairs = logfmt::parse(text);
        let field = |name: &str| {
            let pair = pairs.iter().find(|pair| pair.key == name)?;
            pair.val.as_deref()
        };
        let non_empty_field = |name: &str| field(name).filter(|v| !v.is_empty()).map(Into::into);
        let elapsed_ms = ELAPSED_FIELDS.into_iter().filter_map(field);
        let elapsed_ms = elapsed_ms.filter_map(|value| value.parse().ok());
        Some(Self {
            timestamp_ms: field(TIMESTAMP_FIELD)?.parse().ok()?,
            elapsed_ms: elapsed_ms.max().unwrap_or(0),
            text: text.trim().into(),
            event: field("event").unwrap_or_default().into(),
            node: non_empty_field("node"),
            caller_id: non_empty_field(CALLER_ID_FIELD),
            attempt_id: non_empty_field(ATTEMPT_ID_FIELD),
            resumes: non_empty_field(RESUMES_FIELD),
            order: non_empty_field("order"),
            target: non_empty_field("target"),
            upstream: non_empty_field("upstream"),
        })
    }

    /// Returns the line as it was logged, without surrounding whitespace.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Returns the lines that concern the request `id` or show a cause of its
/// result, oldest first.
///
/// `id` is the caller's request id or the id of an attempt.
pub fn related_lines(lines: Vec<LogLine>, id: &str) -> Vec<LogLine> {
    let ids = request_ids(&lines, id);
    let causes = CauseFilter::new(&lines, &ids);
    let is_related = |line: &LogLine| ids.contains(line) || causes.matches(line);
    let mut related: Vec<LogLine> = lines.into_iter().filter(|line| is_related(line)).collect();
    related.sort_by_key(|line| line.timestamp_ms);
    related
}

/// Ids under which a request is logged.
#[derive(Default)]
struct RequestIds {
    caller_ids: BTreeSet<Box<str>>,
    attempt_ids: BTreeSet<Box<str>>,
}

impl RequestIds {
    /// Returns whether the line has one of the ids.
    fn contains(&self, line: &LogLine) -> bool {
        let is_in = |ids: &BTreeSet<Box<str>>, id: &Option<Box<str>>| {
            id.as_ref().is_some_and(|id| ids.contains(id))
        };
        is_in(&self.caller_ids, &line.caller_id) || is_in(&self.attempt_ids, &line.attempt_id)
    }
}

/// Returns all ids of the request that has `id` as one of its ids.
fn request_ids(lines: &[LogLine], id: &str) -> RequestIds {
    let is_id = |field: &Option<Box<str>>| field.as_deref() == Some(id);
    let mut ids = RequestIds::default();
    let has_id = |line: &&LogLine| is_id(&line.caller_id) || is_id(&line.attempt_id);
    for line in lines.iter().filter(has_id) {
        ids.caller_ids.extend(line.caller_id.clone());
        ids.attempt_ids.extend(line.attempt_id.clone());
    }
    ids.caller_ids
        .extend(requests_of_streams(lines, &ids.caller_ids));
    let callers = ids.caller_ids.clone();
    let lines_of_caller = lines
        .iter()
        .filter(|l| l.caller_id.as_ref().is_some_and(|c| callers.contains(c)));
    ids.attempt_ids
        .extend(lines_of_caller.filter_map(|line| line.attempt_id.clone()));
    ids
}

/// Returns the callers' ids of all requests that belong to the streams of the requests `callers`:
/// those that began the streams and those that took them up.
fn requests_of_streams(lines: &[LogLine], callers: &BTreeSet<Box<str>>) -> BTreeSet<Box<str>> {
    let is_in = |ids: &BTreeSet<Box<str>>, id: &Option<Box<str>>| {
        id.as_ref().is_some_and(|id| ids.contains(id))
    };
    let mut first = callers.clone();
    let taking_up = lines.iter().filter(|line| is_in(callers, &line.caller_id));
    first.extend(taking_up.filter_map(|line| line.resumes.clone()));
    let of_streams = lines.iter().filter(|line| is_in(&first, &line.resumes));
    let later: Vec<Box<str>> = of_streams
        .filter_map(|line| line.caller_id.clone())
        .collect();
    first.extend(later);
    first
}

/// Filter for lines without an id of the request that show a cause of its result.
struct CauseFilter {
    /// Start and end of the request, in Unix milliseconds: the start follows from
    /// the elapsed times, the end is the timestamp of the last line.
    request_span_ms: (u64, u64),
    targets: BTreeSet<Box<str>>,
    upstreams: BTreeSet<Box<str>>,
    /// Nodes that handled the request, and agents of its upstreams.
    nodes: BTreeSet<Box<str>>,
}

impl CauseFilter {
    fn new(lines: &[LogLine], ids: &RequestIds) -> Self {
        let own_lines: Vec<&LogLine> = lines.iter().filter(|line| ids.contains(line)).collect();
        let starts = own_lines
            .iter()
            .map(|line| line.timestamp_ms.saturating_sub(line.elapsed_ms));
        let ends = own_lines.iter().map(|line| line.timestamp_ms);
        let upstreams: BTreeSet<Box<str>> = own_lines
            .iter()
            .filter_map(|line| line.upstream.clone())
            .collect();
        let agent_lines = lines.iter().filter(|line| {
            &*line.event == "engine named"
                && line
                    .upstream
                    .as_ref()
                    .is_some_and(|upstream| upstreams.contains(upstream))
        });
        let node_lines = own_lines.iter().copied().chain(agent_lines);
        Self {
            request_span_ms: (starts.min().unwrap_or(0), ends.max().unwrap_or(0)),
            targets: own_lines
                .iter()
                .filter_map(|line| line.target.clone())
                .collect(),
            nodes: node_lines.filter_map(|line| line.node.clone()).collect(),
            upstreams,
        }
    }

    fn matches(&self, line: &LogLine) -> bool {
        let (start, end) = self.request_span_ms;
        let window = u64::try_from(CAUSE_WINDOW.as_millis()).unwrap_or(u64::MAX);
        let (earliest_load, latest_loss) = (start.saturating_sub(window), end + window);
        let is_involved_node = line
            .node
            .as_ref()
            .is_some_and(|node| self.nodes.contains(node));
        let loads_target = |order: &str| {
            let adapter = order.strip_prefix("load ");
            adapter.is_some_and(|adapter| self.targets.contains(adapter))
        };
        if (earliest_load..=end).contains(&line.timestamp_ms)
            && line.order.as_deref().is_some_and(loads_target)
        {
            return is_involved_node;
        }
        if !(start..=latest_loss).contains(&line.timestamp_ms) {
            return false;
        }
        if UPSTREAM_LOST_EVENTS.contains(&&*line.event) {
            let upstream = line.upstream.as_ref();
            return upstream.is_some_and(|name| self.upstreams.contains(name));
        }
        is_involved_node && ENGINE_LOST_EVENTS.contains(&&*line.event)
    }
}
