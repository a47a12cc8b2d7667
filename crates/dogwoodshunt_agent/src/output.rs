//! Answer of one request, kept until its entry has acknowledged it.

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_types::Outcome;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::MAX_UNACKNOWLEDGED_BYTES;
use dogwoodshunt_wire::frame::ResponseHead;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// The entry or the agent has given the request up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GivenUp;

/// How an answer ended.
#[derive(Clone, Debug)]
enum End {
    Failed { outcome: Outcome, message: Box<str> },
    Whole,
}

#[derive(Debug)]
struct State {
    link: Option<Sender<Frame>>,
    head: Option<ResponseHead>,
    chunks: VecDeque<(u64, Bytes)>,
    bytes: usize,
    next: u64,
    acked: u64,
    end: Option<End>,
    given_up: bool,
}

/// Answer of one request.
#[derive(Debug)]
pub struct Output {
    request: RequestId,
    state: Mutex<State>,
    room: (Sender<()>, Receiver<()>),
}

impl Output {
    /// Creates an answer that goes out on `link`.
    pub fn new(request: RequestId, link: Sender<Frame>) -> Self {
        Self {
            request,
            state: Mutex::new(State {
                link: Some(link),
                head: None,
                chunks: VecDeque::new(),
                bytes: 0,
                next: 0,
                acked: 0,
                end: None,
                given_up: false,
            }),
            room: async_channel::bounded(1),
        }
    }

    /// Sends status and headers.
    pub fn head(&self, head: ResponseHead) {
        let mut state = self.lock();
        state.head = Some(head.clone());
        let request = self.request;
        state.send(Frame::Head { request, head });
    }

    /// Sends a part of the body, once the entry has acknowledged enough.
    ///
    /// # Errors
    ///
    /// Fails once the request has been given up.
    pub async fn chunk(&self, data: Bytes) -> Result<(), GivenUp> {
        loop {
            {
                let mut state = self.lock();
                if state.given_up {
                    return Err(GivenUp);
                }
                if state.bytes < MAX_UNACKNOWLEDGED_BYTES {
                    self.push(&mut state, data);
                    return Ok(());
                }
            }
            let _ = self.room.1.recv().await;
        }
    }

    /// Ends a whole answer.
    pub fn end(&self) {
        self.finish(End::Whole);
    }

    /// Ends an answer that failed.
    pub fn fail(&self, outcome: Outcome, message: impl Into<Box<str>>) {
        let message = message.into();
        self.finish(End::Failed { outcome, message });
    }

    /// Returns whether status and headers have been sent.
    pub fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Records that the entry holds every chunk before `next`.
    ///
    /// The entry acknowledges the end of the answer as one chunk more.
    pub fn ack(&self, next: u64) {
        let mut state = self.lock();
        state.acked = state.acked.max(next);
        while state
            .chunks
            .front()
            .is_some_and(|(number, _)| *number < next)
        {
            if let Some((_, data)) = state.chunks.pop_front() {
                state.bytes -= data.len();
            }
        }
        let _ = self.room.0.try_send(());
    }

    /// Stops sending until the entry is back.
    pub fn detach(&self) {
        self.lock().link = None;
    }

    /// Continues on a new connection, from chunk `next`.
    pub fn resume(&self, link: Sender<Frame>, next: u64, has_head: bool) {
        let mut state = self.lock();
        state.link = Some(link);
        let request = self.request;
        if let Some(head) = state.head.clone().filter(|_| !has_head) {
            state.send(Frame::Head { request, head });
        }
        let oldest = state
            .chunks
            .front()
            .map_or(state.next, |(number, _)| *number);
        let gapless = invariant::check(
            Invariant::WholeAnswerToItsCaller,
            oldest <= next,
            &format_args!("{request} resumes from {next}, the oldest chunk is {oldest}"),
        );
        if !gapless {
            let message = "a part of the answer is no longer held";
            state.send(failed(request, Outcome::Unknown, message.into()));
            return;
        }
        let pending: Vec<(u64, Bytes)> = state.chunks.iter().cloned().collect();
        for (number, data) in pending.into_iter().filter(|(number, _)| *number >= next) {
            state.send(Frame::Chunk {
                request,
                number,
                data,
            });
        }
        state.send_end(request);
    }

    /// Gives the request up; its runner stops at the next chunk.
    pub fn give_up(&self) {
        self.lock().given_up = true;
        let _ = self.room.0.try_send(());
    }

    /// Returns whether the answer has ended and the entry knows it.
    pub fn is_delivered(&self) -> bool {
        let state = self.lock();
        state.end.is_some() && state.acked > state.next
    }

    /// Returns whether the answer has ended.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    fn push(&self, state: &mut State, data: Bytes) {
        let number = state.next;
        state.next += 1;
        state.bytes += data.len();
        state.chunks.push_back((number, data.clone()));
        state.send(Frame::Chunk {
            request: self.request,
            number,
            data,
        });
    }

    fn finish(&self, end: End) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.send_end(self.request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn send(&mut self, frame: Frame) {
        let Some(link) = &self.link else {
            return;
        };
        if link.try_send(frame).is_err() {
            self.link = None;
        }
    }

    fn send_end(&mut self, request: RequestId) {
        let chunks = self.next;
        match self.end.clone() {
            Some(End::Whole) => self.send(Frame::End { request, chunks }),
            Some(End::Failed { outcome, message }) => {
                self.send(failed(request, outcome, message));
            }
            None => {}
        }
    }
}

fn failed(request: RequestId, outcome: Outcome, message: Box<str>) -> Frame {
    Frame::Failed {
        request,
        outcome,
        message,
    }
}
