//! CBOR encoding and decoding of frames.

use crate::frame::Frame;
use bytes::Bytes;
use snafu::ResultExt;
use snafu::Snafu;
use snafu::ensure;

/// Maximum size of an encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Maximum nesting depth of CBOR values in a frame; bounds the stack that the decoder uses.
const MAX_DEPTH: usize = 32;

/// Error from encoding or decoding a frame.
#[derive(Debug, Snafu)]
pub enum CodecError {
    /// The message is not a valid frame.
    #[snafu(display("decode frame: {source}"))]
    Decode {
        /// Error of the CBOR decoder.
        source: ciborium::de::Error<std::io::Error>,
    },
    /// The frame cannot be encoded.
    #[snafu(display("encode frame: {source}"))]
    Encode {
        /// Error of the CBOR encoder.
        source: ciborium::ser::Error<std::io::Error>,
    },
    /// The encoded frame is larger than [`MAX_FRAME_BYTES`].
    #[snafu(display("frame of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes"))]
    TooLarge {
        /// Size of the encoded frame.
        bytes: usize,
    },
    /// The message has further bytes after the frame.
    #[snafu(display("decode frame: {bytes} trailing bytes after the frame"))]
    TrailingBytes {
        /// Number of trailing bytes.
        bytes: usize,
    },
}

/// Encodes a frame as CBOR.
///
/// # Errors
///
/// Fails if the frame cannot be encoded or the encoded frame is larger than [`MAX_FRAME_BYTES`].
pub fn encode(frame: &Frame) -> Result<Bytes, CodecError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buf).context(EncodeSnafu)?;
    ensure!(
        buf.len() <= MAX_FRAME_BYTES,
        TooLargeSnafu { bytes: buf.len() }
    );
    Ok(buf.into())
}

/// Decodes a frame from CBOR.
///
/// # Errors
///
/// Fails if `bytes` is not exactly one frame or is larger than [`MAX_FRAME_BYTES`].
pub fn decode(bytes: &[u8]) -> Result<Frame, CodecError> {
    ensure!(
        bytes.len() <= MAX_FRAME_BYTES,
        TooLargeSnafu { bytes: bytes.len() }
    );
    let mut remaining = bytes;
    let frame = ciborium::de::from_reader_with_recursion_limit(&mut remaining, MAX_DEPTH)
        .context(DecodeSnafu)?;
    ensure!(
        remaining.is_empty(),
        TrailingBytesSnafu {
            bytes: remaining.len()
        }
    );
    Ok(frame)
}
