//! TCP relay that a test can disconnect, delay and stall.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_runtime::traffic::TrafficExecutor;
use rustix::net::sockopt::set_socket_linger;
use smol::future::FutureExt;
use smol::io::AsyncReadExt;
use smol::io::AsyncWriteExt;
use smol::net::TcpListener;
use smol::net::TcpStream;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

/// Interval at which a stalled direction checks whether it may continue.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How a relay treats connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Closes new connections at once; setting the mode resets the open ones.
    Disconnected,
    /// Forwards both directions, each chunk this long after it was read.
    Delayed(Duration),
    /// Forwards both directions.
    #[default]
    Forwarding,
    /// Holds back data towards the target; connections stay open.
    StallRequests,
    /// Holds back data from the target; connections stay open.
    StallResponses,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    target: Option<SocketAddr>,
    // Closing the channel resets every open connection.
    reset_channel: (Sender<()>, Receiver<()>),
    // Number of connections accepted so far, and how many of the first ones are
    // stalled for good.
    accepted_count: u64,
    stalled_count: u64,
}

/// A TCP relay in front of one process; the address of the relay stays the same
/// when the process restarts. Clones control the same relay.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address on which the relay accepts connections.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl State {
    fn reset_connections(&mut self) {
        self.reset_channel.0.close();
        self.reset_channel = async_channel::bounded(1);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Responses,
    Requests,
}

impl Relay {
    /// Starts a relay without a target on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(traffic: &TrafficExecutor) -> io::Result<Self> {
        Self::start_at(traffic, (Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts a relay without a target on `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start_at(traffic: &TrafficExecutor, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: Mode::Forwarding,
                target: None,
                reset_channel: async_channel::bounded(1),
                accepted_count: 0,
                stalled_count: 0,
            })),
        };
        let (accept_relay, accept_traffic) = (relay.clone(), traffic.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = accept_relay.clone();
                accept_traffic
                    .spawn(async move { relay.forward(stream).await })
                    .detach();
            }
        };
        traffic.spawn(accept).detach();
        Ok(relay)
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.with_state(|state| state.target = Some(target));
    }

    /// Sets the mode; [`Mode::Disconnected`] also resets the open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.with_state(|state| {
            state.mode = mode;
            if mode == Mode::Disconnected {
                state.reset_connections();
            }
        });
    }

    /// Resets the open connections; the mode for new ones stays the same.
    pub fn reset_connections(&self) {
        self.with_state(State::reset_connections);
    }

    /// Stalls the open connections in both directions for good, without closing them.
    pub fn stall_open_connections(&self) {
        self.with_state(|state| state.stalled_count = state.accepted_count);
    }

    async fn forward(&self, caller_stream: TcpStream) {
        let (mode, target, reset_channel, connection_number) = self.with_state(|state| {
            state.accepted_count += 1;
            let reset_channel = state.reset_channel.1.clone();
            (
                state.mode,
                state.target,
                reset_channel,
                state.accepted_count,
            )
        });
        let Some(target) = target.filter(|_| mode != Mode::Disconnected) else {
            return;
        };
        let Ok(target_stream) = TcpStream::connect(target).await else {
            return;
        };
        // Disables Nagle's algorithm, which would delay small frames until the peer
        // acknowledges earlier ones.
        let _ = caller_stream.set_nodelay(true);
        let _ = target_stream.set_nodelay(true);
        let (caller_reader, target_reader) = (caller_stream.clone(), target_stream.clone());
        let streams = [caller_stream.clone(), target_stream.clone()];
        let requests = self.forward_direction(
            caller_reader,
            target_stream,
            Direction::Requests,
            connection_number,
        );
        let responses = self.forward_direction(
            target_reader,
            caller_stream,
            Direction::Responses,
            connection_number,
        );
        let reset = async {
            let _ = reset_channel.recv().await;
            for stream in &streams {
                // With a linger time of zero, closing sends a TCP reset. An error means
                // that the peer has already closed the connection.
                let _ = set_socket_linger(stream, Some(Duration::ZERO));
            }
        };
        requests.or(responses).or(reset).await;
    }

    async fn forward_direction(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
        connection_number: u64,
    ) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let Ok(byte_count) = from.read(&mut buf).await else {
                return;
            };
            if let Mode::Delayed(delay) = self.with_state(|state| state.mode) {
                smol::Timer::after(delay).await;
            }
            while self.is_stalled(direction, connection_number) {
                smol::Timer::after(STALL_POLL_INTERVAL).await;
            }
            if byte_count == 0 || to.write_all(&buf[..byte_count]).await.is_err() {
                return;
            }
        }
    }

    fn is_stalled(&self, direction: Direction, connection_number: u64) -> bool {
        let (mode, stalled_count) = self.with_state(|state| (state.mode, state.stalled_count));
        if connection_number <= stalled_count {
            return true;
        }
        match mode {
            Mode::Disconnected | Mode::Delayed(_) | Mode::Forwarding => false,
            Mode::StallResponses => direction == Direction::Responses,
            Mode::StallRequests => direction == Direction::Requests,
        }
    }

    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
