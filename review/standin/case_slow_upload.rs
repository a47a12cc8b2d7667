//! The entry is stopped as planned while a client is still sending a request.

use crate::Verdict;
use crate::deployment::Deployment;
use crate::deployment::HOST;
use crate::deployment::configuration;
use crate::deployment::pause;
use crate::deployment::streaming;
use crate::runner::MODEL;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

const SERVICE: &str = "roast-brain";
/// When the client connects, and when it has sent its request, after the SIGTERM. The platform
/// takes the entry out of rotation after two questions, one a second.
const CONNECTS_AT: Duration = Duration::from_millis(1_500);
const SENT_AT: Duration = Duration::from_millis(3_300);
/// Bytes of the request's body; the site has 18,000 on average and 110,000 at most.
const BODY_BYTES: usize = 60_000;
/// Pieces in which the body is sent.
const PIECES: usize = 18;
/// Output tokens of the request; the runner makes an event of four tokens each 60 ms.
const LONG_OUTPUT: u32 = 320;

pub fn run(deployment: &Deployment) -> Verdict {
    deployment.configure(&configuration(
        3,
        &[streaming("/draft/", SERVICE)],
        &[SERVICE],
    ));
    let runner = deployment.runner(11, "i-7f3a91c2", SERVICE);
    let _agent = deployment.agent(11);
    let entry = deployment.entry(1);
    if !deployment.site.wait_ready(1, Duration::from_secs(10)) {
        return Verdict::CouldNotRun("the entry does not get ready".to_owned());
    }
    for _ in 0..10 {
        if !deployment.ask_until_served("/draft/2f", "a1", Duration::from_secs(10)) {
            return Verdict::CouldNotRun("no request is served".to_owned());
        }
    }
    let began = Instant::now();
    if deployment.trouble {
        entry.signal("TERM");
    }
    let until = |at: Duration| std::thread::sleep(at.saturating_sub(began.elapsed()));
    until(CONNECTS_AT);
    let id = format!("{:08x}ffffffff", std::process::id());
    let head = format!(
        "POST /draft/2f HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nModel: {MODEL}/a1\r\n\
         Token-Usage: 1460,{LONG_OUTPUT}\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n\
         Deadline-Ms: 15000\r\nContent-Length: {BODY_BYTES}\r\nConnection: close\r\n\r\n"
    );
    let front = deployment.site.front(1);
    let Ok(mut stream) = TcpStream::connect(front) else {
        return Verdict::CouldNotRun("the entry takes no connection".to_owned());
    };
    let note = |text: &str| {
        let seconds = began.elapsed().as_secs_f64();
        deployment
            .record
            .note(&format!("{seconds:.2} s after the SIGTERM: {text}"));
    };
    note(&format!("the client sends the head of {id}"));
    let _ = stream.set_nodelay(true);
    let mut sent = stream.write_all(head.as_bytes());
    for piece in 1..=PIECES {
        let span = SENT_AT - CONNECTS_AT;
        until(CONNECTS_AT + span * piece as u32 / PIECES as u32);
        let end = BODY_BYTES * piece / PIECES - BODY_BYTES * (piece - 1) / PIECES;
        sent = sent.and_then(|()| stream.write_all(&vec![b'p'; end]));
    }
    note(&format!("the client has sent {id}: {sent:?}"));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(15)));
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    note(&format!("the connection has ended: {read:?}"));
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let ended_at = began.elapsed().as_secs_f64();
    let status = answer.split(' ').nth(1).unwrap_or("none").to_owned();
    let events = answer.matches("\nid: ").count();
    let is_whole = answer.ends_with("0\r\n\r\n") || status != "200";
    let has_run = runner.runs().iter().any(|run| run.id == id);
    pause(1_000);
    let text = format!(
        "the request was sent whole {:.1} s after the SIGTERM, {}; the client got {status} with \
         {events} of {} events, and the connection ended after {ended_at:.2} s, the answer {}",
        SENT_AT.as_secs_f64(),
        if has_run {
            "and a runner ran it"
        } else {
            "and no runner ran it"
        },
        LONG_OUTPUT / 4,
        if is_whole { "whole" } else { "not whole" },
    );
    match has_run && !is_whole {
        true => Verdict::Broken(text),
        false => Verdict::Held(text),
    }
}
