//! Runs one scripted case of the review: `cases NAME RECORD`, in the root of the project.
//! RECORD is the file for what was sent, answered and run. With `TROUBLE=0` the disruption does
//! not take place; with `KEEP=1` the logs of the processes are kept.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod case_final_fault;
mod case_late_order;
mod case_many_versions;
mod case_moved_route;
mod case_pages;
mod case_slow_upload;
mod deployment;
mod http;
mod json;
mod link;
mod record;
mod runner;
mod store;
mod system;

use crate::deployment::Deployment;
use crate::record::Record;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// What a case has shown.
pub enum Verdict {
    Broken(String),
    Held(String),
    CouldNotRun(String),
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let root = std::env::current_dir().expect("current folder");
    let scratch = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        exit(2);
    }
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("{path}: {error}");
            exit(2);
        }
    };
    record.note(if trouble {
        "with the disruption"
    } else {
        "without the disruption"
    });
    let run = match case.as_str() {
        "moved-route" => case_moved_route::run,
        "slow-upload" => case_slow_upload::run,
        "final-fault" => case_final_fault::run,
        "pages" => case_pages::run,
        "many-versions" => case_many_versions::run,
        "late-order" => case_late_order::run,
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    // The grown deployment of the same users has other bounds.
    let is_grown = matches!(case.as_str(), "many-versions" | "final-fault");
    let noted = record.clone();
    let (folder, root) = (scratch.clone(), root);
    let played = thread::spawn(move || {
        let deployment = Deployment::start(root, folder, noted, is_grown, trouble);
        // Processes of the system are killed when the case ends, also by a panic.
        run(&deployment)
    });
    // No case takes longer; a case that hangs has not run.
    let mut waited = 0;
    while !played.is_finished() && waited < 115_000 {
        thread::sleep(Duration::from_millis(20));
        waited += 20;
    }
    let verdict = match played.is_finished() {
        true => played
            .join()
            .unwrap_or_else(|_| Verdict::CouldNotRun("the case has panicked".to_owned())),
        false => Verdict::CouldNotRun("the case has not ended in time".to_owned()),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    } else {
        println!("logs: {}", scratch.display());
    }
    let (code, text) = match verdict {
        Verdict::Broken(text) => (1, format!("BROKEN: {text}")),
        Verdict::Held(text) => (0, format!("held: {text}")),
        Verdict::CouldNotRun(text) => (2, format!("could not run: {text}")),
    };
    record.say(&text);
    exit(code);
}
