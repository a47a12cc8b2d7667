//! Authenticated WebSocket connections that carry frames between an entry and an agent.

use crate::nondeterminism::generate_nonce;
use crate::traffic::TrafficExecutor;
use bytes::Bytes;
use dogwoodshunt_border::http::limits::ConnectionAccount;
use dogwoodshunt_wire::Frame;
use dogwoodshunt_wire::codec;
use dogwoodshunt_wire::codec::CodecError;
use dogwoodshunt_wire::frame::Challenge;
use dogwoodshunt_wire::frame::Hello;
use dogwoodshunt_wire::frame::Identity;
use dogwoodshunt_wire::frame::PROTOCOL_VERSION;
use dogwoodshunt_wire::handshake;
use dogwoodshunt_wire::handshake::SharedKey;
use dogwoodshunt_wire::handshake::Side;
use dogwoodshunt_wire::handshake::Transcript;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use slog::Logger;
use slog::warn;
use smol::Timer;
use smol::future;
use smol::future::FutureExt;
use smol::net::TcpStream;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;
use std::future::Future;
use std::time::Duration;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::Role;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::Compat;
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// Timeout for establishing a connection, including the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum size of a message from a peer that is not yet authenticated, in bytes.
const MAX_HANDSHAKE_MESSAGE_BYTES: usize = 4 * 1024;

/// Capacity, in frames, of the queue of received frames that are not yet processed. A full queue
/// stops reading from the connection.
const RECEIVE_QUEUE_CAPACITY: usize = 256;

/// Size of the read buffer and of the write buffer of a connection, in bytes. The read buffer is
/// cleared before each read, so with the library's default of 128 KiB every connection occupies
/// this much memory, while most frames have some hundred bytes. Buffers grow for larger frames.
const BUFFER_BYTES: usize = 8 * 1024;

type Socket = WebSocketStream<Compat<TcpStream>>;

/// Error from establishing a connection or receiving over one.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// A frame could not be encoded, or the peer sent a malformed frame.
    #[snafu(display("{step} (peer {peer}): {source}"))]
    Codec {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Error of the codec.
        source: CodecError,
    },
    /// The connection was not established in time.
    #[snafu(display("{step} (peer {peer}): connection not established within {OPEN_TIMEOUT:?}"))]
    OpenTimeout {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The connection failed or was closed.
    #[snafu(display("{step} (peer {peer}): {message}"))]
    ConnectionLost {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Error of the network or the WebSocket library.
        message: Box<str>,
    },
    /// The peer does not hold the shared key.
    #[snafu(display("{step} (peer {peer}): peer does not hold the shared key"))]
    Unauthenticated {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The peer sent a handshake frame of the wrong type or size.
    #[snafu(display(
        "{step} (peer {peer}): frame has the wrong type or exceeds {MAX_HANDSHAKE_MESSAGE_BYTES} bytes"
    ))]
    UnexpectedFrame {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
    },
    /// The peer speaks another version of the protocol.
    #[snafu(display(
        "{step} (peer {peer}): peer speaks protocol version {peer_version}, this process {PROTOCOL_VERSION}; \
         run the same release on both"
    ))]
    VersionMismatch {
        /// Operation that failed.
        step: &'static str,
        /// Address of the peer.
        peer: Box<str>,
        /// Protocol version of the peer.
        peer_version: u32,
    },
}

/// Established connection to a peer.
pub struct Link {
    /// Identity of the peer.
    pub peer: Identity,
    /// Sends frames to the peer without waiting, since the queue is unbounded; closing the channel
    /// closes the connection.
    pub tx: async_channel::Sender<Frame>,
    /// Receives frames from the peer; the channel is closed when the connection ends.
    pub rx: async_channel::Receiver<Frame>,
}

/// Identity and key by which a process authenticates to its peers.
#[derive(Clone, Debug)]
pub struct Credentials {
    /// Identity of this process.
    pub identity: Identity,
    /// Key shared by all entries and agents.
    pub key: SharedKey,
}

/// Connects to the agent at `address` (`ADDRESS:PORT`).
///
/// # Errors
///
/// Fails if the connection is not established in time or the agent does not hold the shared key.
pub async fn connect(
    address: &str,
    credentials: &Credentials,
    traffic: &TrafficExecutor,
    log: &Logger,
) -> Result<Link, LinkError> {
    const STEP: &str = "connect";
    let open = async {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| connection_lost(STEP, address, &error))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/agent");
        let config = Some(websocket_config(codec::MAX_FRAME_BYTES));
        let opened = tokio_tungstenite::client_async_with_config(url, stream.compat(), config);
        let (socket, _) = opened
            .await
            .map_err(|error| connection_lost(STEP, address, &error))?;
        handshake_with_agent(socket, address, credentials).await
    };
    let (socket, peer) = with_open_timeout(STEP, address, open).await?;
    Ok(spawn_link(socket, peer, None, traffic, log.clone()))
}

/// Accepts the connection of an entry on `stream`. Until the entry is authenticated, the connection
/// ends if `account` has to give way to others.
///
/// # Errors
///
/// Fails if the handshake does not complete in time or the entry does not hold the shared key.
pub async fn accept(
    stream: TcpStream,
    account: Option<ConnectionAccount>,
    credentials: &Credentials,
    traffic: &TrafficExecutor,
    log: &Logger,
) -> Result<Link, LinkError> {
    const STEP: &str = "accept";
    let address = match stream.peer_addr() {
        Ok(address) => address.to_string(),
        Err(_) => "unknown address".to_owned(),
    };
    let _ = stream.set_nodelay(true);
    let open = async {
        let config = Some(handshake_config());
        let opened = tokio_tungstenite::accept_async_with_config(stream.compat(), config);
        let socket = opened
            .await
            .map_err(|error| connection_lost(STEP, &address, &error))?;
        handshake_with_entry(socket, &address, credentials).await
    };
    let evicted = async {
        match &account {
            Some(account) => account.evicted().await,
            None => future::pending().await,
        }
        let message = "closed to make room for other connections";
        Err(connection_lost(STEP, &address, &message))
    };
    let opened = with_open_timeout(STEP, &address, open).or(evicted).await;
    let (socket, peer) = opened?;
    if let Some(account) = &account {
        account.on_running();
    }
    Ok(spawn_link(socket, peer, account, traffic, log.clone()))
}

/// Returns the limits of a connection whose peer is not authenticated.
fn handshake_config() -> WebSocketConfig {
    websocket_config(MAX_HANDSHAKE_MESSAGE_BYTES).read_buffer_size(MAX_HANDSHAKE_MESSAGE_BYTES)
}

fn websocket_config(max_bytes: usize) -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(max_bytes))
        .max_frame_size(Some(max_bytes))
}

async fn with_open_timeout<T>(
    step: &'static str,
    peer: &str,
    open: impl Future<Output = Result<T, LinkError>>,
) -> Result<T, LinkError> {
    let timed_out = async {
        Timer::after(OPEN_TIMEOUT).await;
        OpenTimeoutSnafu { step, peer }.fail()
    };
    open.or(timed_out).await
}

async fn handshake_with_agent(
    mut socket: Socket,
    address: &str,
    credentials: &Credentials,
) -> Result<(Socket, Identity), LinkError> {
    const STEP: &str = "handshake with agent";
    let Frame::Challenge(challenge) = receive(STEP, address, &mut socket).await? else {
        return UnexpectedFrameSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    check_protocol_version(STEP, address, challenge.protocol)?;
    let nonce = generate_nonce();
    let transcript = Transcript {
        agent_nonce: &challenge.nonce,
        entry_nonce: &nonce,
        agent: &challenge.agent,
        entry: &credentials.identity,
    };
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        nonce,
        entry: credentials.identity.clone(),
        proof: handshake::prove(&credentials.key, Side::Entry, &transcript),
    };
    send(STEP, address, &mut socket, &Frame::Hello(hello)).await?;
    let Frame::Welcome { proof } = receive(STEP, address, &mut socket).await? else {
        return UnexpectedFrameSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    let authenticated = handshake::verify(&credentials.key, Side::Agent, &transcript, &proof);
    ensure!(
        authenticated,
        UnauthenticatedSnafu {
            step: STEP,
            peer: address
        }
    );
    Ok((socket, challenge.agent))
}

async fn handshake_with_entry(
    mut socket: Socket,
    address: &str,
    credentials: &Credentials,
) -> Result<(Socket, Identity), LinkError> {
    const STEP: &str = "handshake with entry";
    let challenge = Challenge {
        protocol: PROTOCOL_VERSION,
        nonce: generate_nonce(),
        agent: credentials.identity.clone(),
    };
    let frame = Frame::Challenge(challenge.clone());
    send(STEP, address, &mut socket, &frame).await?;
    let Frame::Hello(hello) = receive(STEP, address, &mut socket).await? else {
        return UnexpectedFrameSnafu {
            step: STEP,
            peer: address,
        }
        .fail();
    };
    check_protocol_version(STEP, address, hello.protocol)?;
    let transcript = Transcript {
        agent_nonce: &challenge.nonce,
        entry_nonce: &hello.nonce,
        agent: &credentials.identity,
        entry: &hello.entry,
    };
    let authenticated = handshake::verify(&credentials.key, Side::Entry, &transcript, &hello.proof);
    ensure!(
        authenticated,
        UnauthenticatedSnafu {
            step: STEP,
            peer: address
        }
    );
    let proof = handshake::prove(&credentials.key, Side::Agent, &transcript);
    // The entry sends nothing between its proof and the welcome, so no bytes of it are lost here.
    let config = Some(websocket_config(codec::MAX_FRAME_BYTES));
    let stream = socket.into_inner();
    let mut socket = WebSocketStream::from_raw_socket(stream, Role::Server, config).await;
    send(STEP, address, &mut socket, &Frame::Welcome { proof }).await?;
    Ok((socket, hello.entry))
}

fn check_protocol_version(
    step: &'static str,
    peer: &str,
    peer_version: u32,
) -> Result<(), LinkError> {
    ensure!(
        peer_version == PROTOCOL_VERSION,
        VersionMismatchSnafu {
            step,
            peer,
            peer_version
        }
    );
    Ok(())
}

async fn send(
    step: &'static str,
    peer: &str,
    socket: &mut Socket,
    frame: &Frame,
) -> Result<(), LinkError> {
    let bytes = codec::encode(frame).context(CodecSnafu { step, peer })?;
    let sent = socket.send(Message::Binary(bytes)).await;
    sent.map_err(|error| connection_lost(step, peer, &error))
}

async fn receive(step: &'static str, peer: &str, socket: &mut Socket) -> Result<Frame, LinkError> {
    let Some(message) = socket.next().await else {
        return Err(connection_lost(step, peer, &"connection closed"));
    };
    let message = message.map_err(|error| connection_lost(step, peer, &error))?;
    let data = message.into_data();
    ensure!(
        data.len() <= MAX_HANDSHAKE_MESSAGE_BYTES,
        UnexpectedFrameSnafu { step, peer }
    );
    codec::decode(&data).context(CodecSnafu { step, peer })
}

fn connection_lost(step: &'static str, peer: &str, message: &dyn std::fmt::Display) -> LinkError {
    LinkError::ConnectionLost {
        step,
        peer: peer.into(),
        message: message.to_string().into(),
    }
}

fn spawn_link(
    socket: Socket,
    peer: Identity,
    account: Option<ConnectionAccount>,
    traffic: &TrafficExecutor,
    log: Logger,
) -> Link {
    let (tx, outgoing) = async_channel::unbounded();
    let (incoming, rx) = async_channel::bounded(RECEIVE_QUEUE_CAPACITY);
    let (sink, stream) = socket.split();
    let write = write_frames(sink, outgoing.clone());
    let node = peer.node.clone();
    let read = async move {
        if let Err(error) = read_frames(stream, incoming, &node).await {
            warn!(log, "connection failed"; "peer" => %node, "error" => %error);
        }
    };
    // The end of either direction closes the connection and both channels.
    let connection_task = async move {
        write.or(read).await;
        outgoing.close();
        drop(account);
    };
    traffic.spawn(connection_task).detach();
    Link { peer, tx, rx }
}

async fn write_frames(
    mut sink: SplitSink<Socket, Message>,
    outgoing: async_channel::Receiver<Frame>,
) {
    while let Ok(frame) = outgoing.recv().await {
        if feed_frame(&mut sink, &frame).await.is_none() {
            return;
        }
        while let Ok(frame) = outgoing.try_recv() {
            if feed_frame(&mut sink, &frame).await.is_none() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    let _ = sink.close().await;
}

/// Writes a frame to the buffer of `sink`; returns `None` if the frame cannot be encoded or the
/// connection has failed.
async fn feed_frame(sink: &mut SplitSink<Socket, Message>, frame: &Frame) -> Option<()> {
    let bytes: Bytes = codec::encode(frame).ok()?;
    sink.feed(Message::Binary(bytes)).await.ok()
}

async fn read_frames(
    mut stream: SplitStream<Socket>,
    incoming: async_channel::Sender<Frame>,
    peer: &str,
) -> Result<(), LinkError> {
    const STEP: &str = "receive";
    while let Some(message) = stream.next().await {
        let message = message.map_err(|error| connection_lost(STEP, peer, &error))?;
        let Message::Binary(data) = message else {
            continue;
        };
        let frame = codec::decode(&data).context(CodecSnafu { step: STEP, peer })?;
        if incoming.send(frame).await.is_err() {
            return Ok(());
        }
    }
    Ok(())
}
