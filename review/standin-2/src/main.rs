//! Plays one of the cases 6 to 10 of the review against the project's own programs.
//!
//! Usage: `review-standin-2 CASE FOLDER`. Writes `FOLDER/record.txt`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod client;
mod departure;
mod history;
mod http;
mod link;
mod outage;
mod proxy;
mod record;
mod runner;
mod store;
mod system;

use crate::departure::Departure;
use crate::record::Record;
use crate::system::Problem;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn play(case: &str, record: &Record) -> Result<bool, Problem> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir()?;
    let folder = system::temporary_folder()?;
    record.add(format!("case {case}, trouble: {trouble}"));
    let result = play_in(case, &root, &folder, record, trouble);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    result
}

fn play_in(
    case: &str,
    root: &Path,
    folder: &Path,
    record: &Record,
    trouble: bool,
) -> Result<bool, Problem> {
    let departure = |reports, silent_before_ms, linger_ms| Departure {
        reports,
        silent_before_ms,
        linger_ms,
    };
    match case {
        "removed" => departure::play(root, folder, record, trouble, departure(false, 3_050, 500)),
        "draining" => departure::play(root, folder, record, trouble, departure(true, 0, 1_400)),
        "history" => history::play(root, folder, record, trouble),
        "outage" => outage::play(root, folder, record, trouble),
        _ => Err("no such case".into()),
    }
}

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (words.next(), words.next()) else {
        eprintln!("usage: review-standin-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Record::new();
    let result = play(&case, &record);
    let (code, text) = match &result {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "the rule was broken".to_owned()),
        Err(problem) => (2, format!("the case could not run: {problem}")),
    };
    record.add(format!("END: {text}"));
    if let Err(error) = record.write_to(&PathBuf::from(folder).join("record.txt")) {
        eprintln!("record: {error}");
    }
    println!("{text}");
    ExitCode::from(code)
}
