//! Encoding of frames as CBOR.

use crate::frame::Frame;
use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Largest encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Deepest nesting of values in a frame.
const MAX_DEPTH: usize = 32;

/// Why a frame cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The bytes are no frame.
    #[snafu(display("the message is no valid frame: {source}"))]
    Decode {
        /// What the CBOR library found.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The frame cannot be encoded.
    #[snafu(display("the frame cannot be encoded: {source}"))]
    Encode {
        /// What the CBOR library found.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The frame is over the limit.
    #[snafu(display("a frame of {bytes} bytes is over the limit of {MAX_FRAME_BYTES}"))]
    TooLarge {
        /// Size of the frame.
        bytes: usize,
    },
    /// Bytes follow the frame.
    #[snafu(display("{bytes} bytes follow the frame"))]
    Trailing {
        /// Number of bytes.
        bytes: usize,
    },
}

/// Encodes a frame.
///
/// # Errors
///
/// Fails if the frame is over [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, CodecError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buf).context(EncodeSnafu)?;
    ensure!(
        buf.len() <= MAX_FRAME_BYTES,
        TooLargeSnafu { bytes: buf.len() }
    );
    Ok(buf.into())
}

/// Decodes a frame.
///
/// # Errors
///
/// Fails if the bytes are not exactly one frame, or over [`MAX_FRAME_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Frame, CodecError> {
    ensure!(
        bytes.len() <= MAX_FRAME_BYTES,
        TooLargeSnafu { bytes: bytes.len() }
    );
    let mut rest = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut rest, MAX_DEPTH)
        .context(DecodeSnafu)?;
    ensure!(rest.is_empty(), TrailingSnafu { bytes: rest.len() });
    Ok(frame)
}
