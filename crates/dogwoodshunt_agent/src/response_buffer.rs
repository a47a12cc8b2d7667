//! Response to one request, buffered until its entry has acknowledged the chunks.

use async_channel::Receiver;
use async_channel::Sender;
use bytes::Bytes;
use dogwoodshunt_types::RequestId;
use dogwoodshunt_types::RequestOutcome;
use dogwoodshunt_types::invariant;
use dogwoodshunt_types::invariant::Invariant;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::frame::MAX_UNACKNOWLEDGED_BYTES;
use dogwoodshunt_wire::frame::ResponseHead;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

/// Error of a send after the request was cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestCancelled;

/// End of a response.
#[derive(Clone, Debug)]
enum ResponseEnd {
    Failed {
        outcome: RequestOutcome,
        message: Box<str>,
    },
    Complete,
}

#[derive(Debug)]
struct BufferState {
    link: Option<Sender<Frame>>,
    head: Option<ResponseHead>,
    /// Unacknowledged chunks with their numbers.
    chunks: VecDeque<(u64, Bytes)>,
    buffered_bytes: usize,
    next_chunk: u64,
    /// Number of the first chunk that the entry has not acknowledged.
    next_unacknowledged: u64,
    end: Option<ResponseEnd>,
    cancelled: bool,
}

/// Sends the response to one request in numbered chunks and buffers each chunk
/// until the entry acknowledges it.
///
/// A response survives the loss of its connection: [`ResponseBuffer::resume`]
/// sends the chunks that the entry lacks again on a new connection. A run blocks
/// in [`ResponseBuffer::send_chunk`] while [`MAX_UNACKNOWLEDGED_BYTES`] are unacknowledged.
#[derive(Debug)]
pub struct ResponseBuffer {
    request: RequestId,
    state: Mutex<BufferState>,
    /// Wakes a sender that waits in [`ResponseBuffer::send_chunk`].
    window_opened: (Sender<()>, Receiver<()>),
}

impl ResponseBuffer {
    /// Creates the response to `request`, sent on `link`.
    pub fn new(request: RequestId, link: Sender<Frame>) -> Self {
        Self {
            request,
            state: Mutex::new(BufferState {
                link: Some(link),
                head: None,
                chunks: VecDeque::new(),
                buffered_bytes: 0,
                next_chunk: 0,
                next_unacknowledged: 0,
                end: None,
                cancelled: false,
            }),
            window_opened: async_channel::bounded(1),
        }
    }

    /// Sends the status and the headers.
    pub fn send_head(&self, head: ResponseHead) {
        let mut state = self.lock();
        state.head = Some(head.clone());
        let request = self.request;
        state.send(Frame::Head { request, head });
    }

    /// Sends a chunk of the body. Waits while the unacknowledged chunks fill the
    /// window.
    ///
    /// # Errors
    ///
    /// Fails once the request has been cancelled.
    pub async fn send_chunk(&self, data: Bytes) -> Result<(), RequestCancelled> {
        loop {
            {
                let mut state = self.lock();
                if state.cancelled {
                    return Err(RequestCancelled);
                }
                if state.buffered_bytes < MAX_UNACKNOWLEDGED_BYTES {
                    self.push_chunk(&mut state, data);
                    return Ok(());
                }
            }
            let _ = self.window_opened.1.recv().await;
        }
    }

    /// Ends a response whose body has been sent completely.
    pub fn complete(&self) {
        self.set_end(ResponseEnd::Complete);
    }

    /// Ends a response that failed.
    pub fn fail(&self, outcome: RequestOutcome, message: impl Into<Box<str>>) {
        let message = message.into();
        self.set_end(ResponseEnd::Failed { outcome, message });
    }

    /// Returns whether the status and the headers have been sent.
    pub fn has_head(&self) -> bool {
        self.lock().head.is_some()
    }

    /// Records that the entry has received every chunk before `next`.
    ///
    /// The entry acknowledges the end of the response as one further chunk.
    pub fn acknowledge(&self, next: u64) {
        let mut state = self.lock();
        state.next_unacknowledged = state.next_unacknowledged.max(next);
        while state
            .chunks
            .front()
            .is_some_and(|(number, _)| *number < next)
        {
            if let Some((_, data)) = state.chunks.pop_front() {
                state.buffered_bytes -= data.len();
            }
        }
        let _ = self.window_opened.0.try_send(());
    }

    /// Stops sending until [`ResponseBuffer::resume`] provides a new connection.
    pub fn detach(&self) {
        self.lock().link = None;
    }

    /// Continues on a new connection from chunk `next`. Sends the head again unless
    /// the entry `has_head`.
    pub fn resume(&self, link: Sender<Frame>, next: u64, has_head: bool) {
        let mut state = self.lock();
        state.link = Some(link);
        let request = self.request;
        if let Some(head) = state.head.clone().filter(|_| !has_head) {
            state.send(Frame::Head { request, head });
        }
        let oldest_chunk = state
            .chunks
            .front()
            .map_or(state.next_chunk, |(number, _)| *number);
        let is_gapless = invariant::check(
            Invariant::WholeAnswerToItsCaller,
            oldest_chunk <= next,
            &format_args!(
                "{request} resumes from chunk {next}, but the oldest buffered chunk is {oldest_chunk}"
            ),
        );
        if !is_gapless {
            let message =
                "response cannot be resumed: chunks that the entry lacks are no longer buffered";
            state.send(failed_frame(
                request,
                RequestOutcome::Unknown,
                message.into(),
            ));
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

    /// Cancels the request. Its run ends when it sends the next chunk.
    pub fn cancel(&self) {
        self.lock().cancelled = true;
        let _ = self.window_opened.0.try_send(());
    }

    /// Returns whether the response has ended and the entry has acknowledged the end.
    pub fn is_delivered(&self) -> bool {
        let state = self.lock();
        state.end.is_some() && state.next_unacknowledged > state.next_chunk
    }

    /// Returns whether the response has ended.
    pub fn is_ended(&self) -> bool {
        self.lock().end.is_some()
    }

    fn push_chunk(&self, state: &mut BufferState, data: Bytes) {
        let number = state.next_chunk;
        state.next_chunk += 1;
        state.buffered_bytes += data.len();
        state.chunks.push_back((number, data.clone()));
        state.send(Frame::Chunk {
            request: self.request,
            number,
            data,
        });
    }

    fn set_end(&self, end: ResponseEnd) {
        let mut state = self.lock();
        if state.end.is_none() {
            state.end = Some(end);
            state.send_end(self.request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BufferState {
    fn send(&mut self, frame: Frame) {
        let Some(link) = &self.link else {
            return;
        };
        if link.try_send(frame).is_err() {
            self.link = None;
        }
    }

    fn send_end(&mut self, request: RequestId) {
        let chunks = self.next_chunk;
        match self.end.clone() {
            Some(ResponseEnd::Complete) => self.send(Frame::End { request, chunks }),
            Some(ResponseEnd::Failed { outcome, message }) => {
                self.send(failed_frame(request, outcome, message));
            }
            None => {}
        }
    }
}

fn failed_frame(request: RequestId, outcome: RequestOutcome, message: Box<str>) -> Frame {
    Frame::Failed {
        request,
        outcome,
        message,
    }
}
