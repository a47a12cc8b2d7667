//! The story of one request, from the logs of several processes.
//!
//! Entries log a request under the id that its caller gave it, and under the
//! ids of the attempts by which agents know it. The lines of both, in the
//! order of their times, tell what was decided and by which inputs. Lines that
//! bear no id of it may still tell its cause: orders to load its adapter while
//! it waited, and the loss of the upstream that it was sent to.

use std::collections::BTreeSet;
use std::time::Duration;

/// Field that holds the id that a caller gave its request.
const CALLER_ID: &str = "id";

/// Field that holds the id of an attempt, as agents log it.
const ATTEMPT_ID: &str = "request";

/// Field that holds the time of a line, in Unix milliseconds.
const TIME: &str = "ts_ms";

/// Fields that hold for how long a request had been under way, in milliseconds.
const UNDER_WAY: [&str; 2] = ["took_ms", "waited_ms"];

/// Events that tell of the loss of an upstream by its name.
const UPSTREAM_LOST: [&str; 3] = [
    "engine not reached",
    "upstream gone",
    "upstream not reached",
];

/// Events of an agent that tell of the loss of its engine.
const ENGINE_LOST: [&str; 2] = ["engine lost", "engine restarted"];

/// Time before a request in which its adapter's load may have begun, and after
/// it in which the loss of its upstream may become known: the lease of the
/// users' sheets, 3 s, and as much again for the news to come.
const AROUND: Duration = Duration::from_secs(6);

/// One line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    at: u64,
    under_way: u64,
    text: Box<str>,
    event: Box<str>,
    node: Option<Box<str>>,
    caller_id: Option<Box<str>>,
    attempt_id: Option<Box<str>>,
    order: Option<Box<str>>,
    target: Option<Box<str>>,
    upstream: Option<Box<str>>,
}

impl Line {
    /// Reads a line of `key=value` pairs; `None` if it bears no time.
    pub fn parse(text: &str) -> Option<Self> {
        let pairs = logfmt::parse(text);
        let field = |name: &str| {
            let pair = pairs.iter().find(|pair| pair.key == name)?;
            pair.val.as_deref()
        };
        let boxed = |name: &str| field(name).filter(|v| !v.is_empty()).map(Into::into);
        let under_way = UNDER_WAY.into_iter().filter_map(field);
        let under_way = under_way.filter_map(|value| value.parse().ok());
        Some(Self {
            at: field(TIME)?.parse().ok()?,
            under_way: under_way.max().unwrap_or(0),
            text: text.trim().into(),
            event: field("event").unwrap_or_default().into(),
            node: boxed("node"),
            caller_id: boxed(CALLER_ID),
            attempt_id: boxed(ATTEMPT_ID),
            order: boxed("order"),
            target: boxed("target"),
            upstream: boxed("upstream"),
        })
    }

    /// Returns the line as it was logged.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Returns the lines that tell of the request `id` and of what befell it,
/// oldest first.
///
/// `id` may be the caller's or that of an attempt.
pub fn story(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let own = own_lines(&lines, id);
    let causes = Causes::of(&lines, &own);
    let is_told = |line: &Line| own.contains(line) || causes.has(line);
    let mut story: Vec<Line> = lines.into_iter().filter(|line| is_told(line)).collect();
    story.sort_by_key(|line| line.at);
    story
}

/// Ids under which a request is logged.
#[derive(Default)]
struct Ids {
    callers: BTreeSet<Box<str>>,
    attempts: BTreeSet<Box<str>>,
}

impl Ids {
    fn contains(&self, line: &Line) -> bool {
        let is = |ids: &BTreeSet<Box<str>>, id: &Option<Box<str>>| {
            id.as_ref().is_some_and(|id| ids.contains(id))
        };
        is(&self.callers, &line.caller_id) || is(&self.attempts, &line.attempt_id)
    }
}

fn own_lines(lines: &[Line], id: &str) -> Ids {
    let told_of = |field: &Option<Box<str>>| field.as_deref() == Some(id);
    let mut ids = Ids::default();
    let named = |line: &&Line| told_of(&line.caller_id) || told_of(&line.attempt_id);
    for line in lines.iter().filter(named) {
        ids.callers.extend(line.caller_id.clone());
        ids.attempts.extend(line.attempt_id.clone());
    }
    let callers = ids.callers.clone();
    let both = lines
        .iter()
        .filter(|l| l.caller_id.as_ref().is_some_and(|c| callers.contains(c)));
    ids.attempts
        .extend(both.filter_map(|line| line.attempt_id.clone()));
    ids
}

/// What lines without an id of the request may still tell of it.
struct Causes {
    /// Milliseconds from the request's first moment to its last line.
    span: (u64, u64),
    targets: BTreeSet<Box<str>>,
    upstreams: BTreeSet<Box<str>>,
    /// Nodes that handled the request, and agents of its upstreams.
    nodes: BTreeSet<Box<str>>,
}

impl Causes {
    fn of(lines: &[Line], own: &Ids) -> Self {
        let own: Vec<&Line> = lines.iter().filter(|line| own.contains(line)).collect();
        let begun = own
            .iter()
            .map(|line| line.at.saturating_sub(line.under_way));
        let ended = own.iter().map(|line| line.at);
        let upstreams: BTreeSet<Box<str>> = own.iter().filter_map(|l| l.upstream.clone()).collect();
        let agents = lines.iter().filter(|line| {
            &*line.event == "engine named"
                && line
                    .upstream
                    .as_ref()
                    .is_some_and(|u| upstreams.contains(u))
        });
        let nodes = own.iter().copied().chain(agents);
        Self {
            span: (begun.min().unwrap_or(0), ended.max().unwrap_or(0)),
            targets: own.iter().filter_map(|l| l.target.clone()).collect(),
            nodes: nodes.filter_map(|line| line.node.clone()).collect(),
            upstreams,
        }
    }

    fn has(&self, line: &Line) -> bool {
        let (begun, ended) = self.span;
        let around = u64::try_from(AROUND.as_millis()).unwrap_or(u64::MAX);
        let (load_begun, loss_known) = (begun.saturating_sub(around), ended + around);
        let is_here = line.node.as_ref().is_some_and(|n| self.nodes.contains(n));
        let loads = |order: &str| {
            let adapter = order.strip_prefix("load ");
            adapter.is_some_and(|adapter| self.targets.contains(adapter))
        };
        if (load_begun..=ended).contains(&line.at) && line.order.as_deref().is_some_and(loads) {
            return is_here;
        }
        if !(begun..=loss_known).contains(&line.at) {
            return false;
        }
        if UPSTREAM_LOST.contains(&&*line.event) {
            let upstream = line.upstream.as_ref();
            return upstream.is_some_and(|name| self.upstreams.contains(name));
        }
        is_here && ENGINE_LOST.contains(&&*line.event)
    }
}
