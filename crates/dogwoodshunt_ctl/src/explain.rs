//! The story of one request, from the logs of several processes.
//!
//! Entries log a request under the id that its caller gave it, and under the
//! ids of the attempts by which agents know it. The lines of both, in the
//! order of their times, tell what was decided and by which inputs.

use std::collections::BTreeSet;

/// Field that holds the id that a caller gave its request.
const CALLER_ID: &str = "id";

/// Field that holds the id of an attempt, as agents log it.
const ATTEMPT_ID: &str = "request";

/// Field that holds the time of a line, in Unix milliseconds.
const TIME: &str = "ts_ms";

/// One line of a log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Line {
    at: u64,
    text: Box<str>,
    caller_id: Option<Box<str>>,
    attempt_id: Option<Box<str>>,
}

impl Line {
    /// Reads a line of `key=value` pairs; `None` if it bears no time.
    pub fn parse(text: &str) -> Option<Self> {
        let pairs = logfmt::parse(text);
        let field = |name: &str| {
            let pair = pairs.iter().find(|pair| pair.key == name)?;
            pair.val.as_deref()
        };
        Some(Self {
            at: field(TIME)?.parse().ok()?,
            text: text.trim().into(),
            caller_id: field(CALLER_ID).map(Into::into),
            attempt_id: field(ATTEMPT_ID).map(Into::into),
        })
    }

    /// Returns the line as it was logged.
    pub fn text(&self) -> &str {
        &self.text
    }
}

/// Returns the lines that tell of the request `id`, oldest first.
///
/// `id` may be the caller's or that of an attempt.
pub fn story(lines: Vec<Line>, id: &str) -> Vec<Line> {
    let told_of = |field: &Option<Box<str>>| field.as_deref() == Some(id);
    let mut callers: BTreeSet<Box<str>> = BTreeSet::new();
    let mut attempts: BTreeSet<Box<str>> = BTreeSet::new();
    for line in lines
        .iter()
        .filter(|l| told_of(&l.caller_id) || told_of(&l.attempt_id))
    {
        callers.extend(line.caller_id.clone());
        attempts.extend(line.attempt_id.clone());
    }
    let both = lines
        .iter()
        .filter(|l| l.caller_id.as_ref().is_some_and(|c| callers.contains(c)));
    attempts.extend(both.filter_map(|line| line.attempt_id.clone()));
    let mut story: Vec<Line> = lines
        .into_iter()
        .filter(|line| {
            let caller = line.caller_id.as_ref().is_some_and(|c| callers.contains(c));
            let attempt = line
                .attempt_id
                .as_ref()
                .is_some_and(|a| attempts.contains(a));
            caller || attempt
        })
        .collect();
    story.sort_by_key(|line| line.at);
    story
}
