//! A relay whose connections tests cut and stall.

use async_channel::Receiver;
use async_channel::Sender;
use dogwoodshunt_runtime::traffic::Traffic;
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

/// Time between two looks at a stalled direction.
const STALL_POLL: Duration = Duration::from_millis(5);

/// What the relay does with connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Refuses new connections; open ones were cut.
    Cut,
    /// Carries both directions, each read this much later.
    Delayed(Duration),
    /// Carries both directions.
    #[default]
    Open,
    /// Carries nothing towards the target, but keeps connections open.
    StallRequests,
    /// Carries nothing back from the target, but keeps connections open.
    StallAnswers,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    target: Option<SocketAddr>,
    // Closing it cuts every open connection.
    alive: (Sender<()>, Receiver<()>),
    // Connections opened so far, and how many of them carry nothing any more.
    opened: u64,
    silenced: u64,
}

/// A relay in front of one process, at an address that stays.
#[derive(Clone, Debug)]
pub struct Relay {
    /// Address of the relay.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl State {
    fn cut(&mut self) {
        self.alive.0.close();
        self.alive = async_channel::bounded(1);
    }
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Direction {
    Answers,
    Requests,
}

impl Relay {
    /// Starts a relay without a target.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(traffic: &Traffic) -> io::Result<Self> {
        Self::start_at(traffic, (Ipv4Addr::LOCALHOST, 0).into()).await
    }

    /// Starts a relay without a target at an address.
    ///
    /// # Errors
    ///
    /// Fails if the address is taken.
    pub async fn start_at(traffic: &Traffic, address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let relay = Self {
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: Mode::Open,
                target: None,
                alive: async_channel::bounded(1),
                opened: 0,
                silenced: 0,
            })),
        };
        let (accepting, spawner) = (relay.clone(), traffic.clone());
        let accept = async move {
            while let Ok((stream, _)) = listener.accept().await {
                let relay = accepting.clone();
                spawner
                    .spawn(async move { relay.carry(stream).await })
                    .detach();
            }
        };
        traffic.spawn(accept).detach();
        Ok(relay)
    }

    /// Sets where connections go from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.with(|state| state.target = Some(target));
    }

    /// Sets what happens to connections; [`Mode::Cut`] ends the open ones.
    pub fn set_mode(&self, mode: Mode) {
        self.with(|state| {
            state.mode = mode;
            if mode == Mode::Cut {
                state.cut();
            }
        });
    }

    /// Resets the open connections; new ones are carried as before.
    pub fn reset(&self) {
        self.with(State::cut);
    }

    /// Carries nothing more on the open connections, and tells neither end.
    pub fn silence_open(&self) {
        self.with(|state| state.silenced = state.opened);
    }

    async fn carry(&self, caller: TcpStream) {
        let (mode, target, alive, number) = self.with(|state| {
            state.opened += 1;
            let alive = state.alive.1.clone();
            (state.mode, state.target, alive, state.opened)
        });
        let Some(target) = target.filter(|_| mode != Mode::Cut) else {
            return;
        };
        let Ok(callee) = TcpStream::connect(target).await else {
            return;
        };
        // Small frames must not wait for acknowledgements on either side.
        let _ = caller.set_nodelay(true);
        let _ = callee.set_nodelay(true);
        let (there, back) = (caller.clone(), callee.clone());
        let ends = [caller.clone(), callee.clone()];
        let requests = self.copy(there, callee, Direction::Requests, number);
        let answers = self.copy(back, caller, Direction::Answers, number);
        let cut = async {
            let _ = alive.recv().await;
            for end in &ends {
                // Without lingering the close is a reset; an end that is gone needs none.
                let _ = set_socket_linger(end, Some(Duration::ZERO));
            }
        };
        requests.or(answers).or(cut).await;
    }

    async fn copy(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
        number: u64,
    ) {
        let mut buf = vec![0; 64 * 1024];
        loop {
            let Ok(count) = from.read(&mut buf).await else {
                return;
            };
            if let Mode::Delayed(delay) = self.with(|state| state.mode) {
                smol::Timer::after(delay).await;
            }
            while self.is_stalled(direction, number) {
                smol::Timer::after(STALL_POLL).await;
            }
            if count == 0 || to.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }

    fn is_stalled(&self, direction: Direction, number: u64) -> bool {
        let (mode, silenced) = self.with(|state| (state.mode, state.silenced));
        if number <= silenced {
            return true;
        }
        match mode {
            Mode::Cut | Mode::Delayed(_) | Mode::Open => false,
            Mode::StallAnswers => direction == Direction::Answers,
            Mode::StallRequests => direction == Direction::Requests,
        }
    }

    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
