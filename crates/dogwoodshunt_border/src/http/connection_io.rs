//! Socket of a server's connection, which reports its progress to the budget.

use crate::http::limits::ConnectionAccount;
use crate::http::limits::LeasedBuffer;
use crate::http::limits::LimitEvent;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::FutureExt;
use hyper::rt::ReadBufCursor;
use smol::Timer;
use smol::net::TcpStream;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

/// Maximum number of bytes of one read. The HTTP library doubles its buffer when a read fills it,
/// which this size never does.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// Size from which a slice is written by itself.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// Bytes of a head that are part of the cost of a connection.
const FREE_HEAD_BYTES: usize = 8 * 1024;

/// Number of bytes of the current head, shared between the socket and the service.
#[derive(Debug, Default)]
pub(super) struct HeadBytes(AtomicUsize);

impl HeadBytes {
    /// Value while no head is received.
    const NONE: usize = usize::MAX;

    /// Records that the head is complete.
    pub(super) fn on_complete(&self) {
        self.0.store(Self::NONE, Ordering::Relaxed);
    }

    /// Records that the next head may begin.
    pub(super) fn on_begin(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Adds `bytes` and returns the size of the head; `None` while no head is received.
    fn add(&self, bytes: usize) -> Option<usize> {
        let before = self.0.load(Ordering::Relaxed);
        if before == Self::NONE {
            return None;
        }
        self.0.store(before + bytes, Ordering::Relaxed);
        Some(before + bytes)
    }
}

/// Socket of a connection.
pub(super) struct ConnectionIo {
    stream: TcpStream,
    account: Option<Arc<ConnectionAccount>>,
    head: Arc<HeadBytes>,
    /// Lease of the buffer of a large head.
    head_lease: Option<LeasedBuffer>,
    write_stall: Duration,
    /// Runs while nothing can be written.
    blocked: Option<Timer>,
}

impl ConnectionIo {
    pub(super) fn new(
        stream: TcpStream,
        account: Option<Arc<ConnectionAccount>>,
        head: Arc<HeadBytes>,
    ) -> Self {
        let limits = account.as_ref().map(|account| account.limits().limits());
        Self {
            stream,
            account,
            head,
            head_lease: None,
            write_stall: limits.map_or(Duration::MAX, |limits| limits.write_stall),
            blocked: None,
        }
    }

    /// Counts received bytes, and leases the buffer of a head that outgrows the connection's cost.
    fn on_read(&mut self, bytes: usize) -> io::Result<()> {
        let Some(account) = &self.account else {
            return Ok(());
        };
        account.on_received(bytes);
        match self.head.add(bytes) {
            Some(head) if head > FREE_HEAD_BYTES => {
                let lease = self.head_lease.get_or_insert_with(|| account.buffer());
                // The HTTP library doubles the buffer of a head.
                match lease.try_reserve(head.next_power_of_two()) {
                    Ok(true) => Ok(()),
                    Ok(false) | Err(_) => {
                        account.limits().observe(LimitEvent::NoRoom);
                        Err(io::ErrorKind::OutOfMemory.into())
                    }
                }
            }
            Some(_) => Ok(()),
            None => {
                self.head_lease = None;
                Ok(())
            }
        }
    }

    /// Follows whether the peer reads, and fails if nothing could be written for too long.
    fn on_write<T>(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let Some(account) = &self.account else {
            return written;
        };
        if written.is_ready() {
            if self.blocked.take().is_some() {
                account.set_blocked(false);
            }
            return written;
        }
        if self.blocked.is_none() {
            account.set_blocked(true);
            self.blocked = Some(Timer::after(self.write_stall));
        }
        let blocked = self.blocked.as_mut().map(|timer| timer.poll(cx));
        if blocked.is_some_and(|timer| timer.is_ready()) {
            account.limits().observe(LimitEvent::WriteStalled);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Pending
    }
}

impl hyper::rt::Read for ConnectionIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut bytes = [0; MAX_READ_BYTES];
        let length = buf.remaining().min(MAX_READ_BYTES);
        match Pin::new(&mut self.stream).poll_read(cx, &mut bytes[..length]) {
            Poll::Ready(Ok(count)) => {
                buf.put_slice(&bytes[..count]);
                Poll::Ready(self.on_read(count))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl hyper::rt::Write for ConnectionIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.on_write(cx, written)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = bufs.iter().find(|buf| !buf.is_empty());
        let first = first.map_or(&[][..], |buf| buf);
        if first.len() >= MAX_COPIED_BYTES {
            return self.poll_write(cx, first);
        }
        // The socket writes one slice at a time, so small ones are put together.
        let mut copied = [0; MAX_COPIED_BYTES];
        let mut length = 0;
        for buf in bufs {
            let count = buf.len().min(MAX_COPIED_BYTES - length);
            copied[length..length + count].copy_from_slice(&buf[..count]);
            length += count;
        }
        self.poll_write(cx, &copied[..length])
    }
}
