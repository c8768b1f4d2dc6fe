//! Frames: version, key identity, envelope, tag.
//!
//! [`Codec`] frames a datagram, which is a frame by itself. [`StreamCodec`] adds a length in front
//! for TCP. The tag covers everything before it.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::key::{Keyring, TAG_LEN};
use crate::message::Envelope;

/// Largest datagram, in bytes: an Ethernet frame's payload less IP and UDP headers.
pub const MAX_DATAGRAM: usize = 1_472;

/// Largest frame on a stream, in bytes.
pub const MAX_STREAM_FRAME: usize = 8 * 1_024 * 1_024;

const VERSION: u8 = 1;
const HEADER_LEN: usize = 2;

/// A frame that cannot be read or written.
#[derive(Debug, Error)]
pub enum CodecError {
    /// Shorter than header and tag.
    #[error("frame of {0} bytes is too short")]
    Short(usize),
    /// Another version of the framing.
    #[error("frame version {0} is unknown")]
    Version(u8),
    /// The tag does not belong to the frame under any valid key.
    #[error("frame tag does not verify under key {0}")]
    Tag(u8),
    /// The envelope does not parse.
    #[error("envelope does not parse: {0}")]
    Envelope(#[from] prost::DecodeError),
    /// The stream failed, or a frame is longer than allowed.
    #[error("stream failed: {0}")]
    Stream(#[from] std::io::Error),
}

/// Codec of datagrams.
#[derive(Clone, Debug)]
pub struct Codec {
    keys: Keyring,
}

impl Codec {
    /// A codec under these keys.
    #[must_use]
    pub const fn new(keys: Keyring) -> Self {
        Self { keys }
    }

    /// Reads a whole datagram.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the frame is short, of another version, not authentic or does not parse.
    pub fn open(&self, frame: &[u8]) -> Result<Envelope, CodecError> {
        let short = CodecError::Short(frame.len());
        let Some((signed, tag)) = frame.split_last_chunk::<TAG_LEN>() else {
            return Err(short);
        };
        let [version, key, envelope @ ..] = signed else {
            return Err(short);
        };
        if *version != VERSION {
            return Err(CodecError::Version(*version));
        }
        if !self.keys.verify(*key, signed, tag) {
            return Err(CodecError::Tag(*key));
        }
        Ok(Envelope::decode(envelope)?)
    }

    /// Appends a whole datagram to `buf`.
    pub fn seal(&self, envelope: &Envelope, buf: &mut BytesMut) {
        let start = buf.len();
        buf.reserve(HEADER_LEN + envelope.encoded_len() + TAG_LEN);
        buf.put_u8(VERSION);
        buf.put_u8(self.keys.signing_id());
        envelope.encode_raw(buf);
        let tag = self.keys.sign(&buf[start..]);
        buf.put_slice(&tag);
    }
}

impl Encoder<Envelope> for Codec {
    type Error = CodecError;

    fn encode(&mut self, envelope: Envelope, buf: &mut BytesMut) -> Result<(), CodecError> {
        self.seal(&envelope, buf);
        Ok(())
    }
}

impl Decoder for Codec {
    type Item = Envelope;
    type Error = CodecError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Envelope>, CodecError> {
        if buf.is_empty() {
            return Ok(None);
        }
        let frame = buf.split();
        self.open(&frame).map(Some)
    }
}

/// Codec of streams: the same frames behind a length.
#[derive(Debug)]
pub struct StreamCodec {
    frames: Codec,
    lengths: LengthDelimitedCodec,
}

impl StreamCodec {
    /// A codec under these keys.
    #[must_use]
    pub fn new(keys: Keyring) -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_STREAM_FRAME)
            .new_codec();
        Self {
            frames: Codec::new(keys),
            lengths,
        }
    }
}

impl Encoder<Envelope> for StreamCodec {
    type Error = CodecError;

    fn encode(&mut self, envelope: Envelope, buf: &mut BytesMut) -> Result<(), CodecError> {
        let mut frame = BytesMut::new();
        self.frames.seal(&envelope, &mut frame);
        self.lengths.encode(frame.freeze(), buf)?;
        Ok(())
    }
}

impl Decoder for StreamCodec {
    type Item = Envelope;
    type Error = CodecError;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Envelope>, CodecError> {
        let Some(frame) = self.lengths.decode(buf)? else {
            return Ok(None);
        };
        let frame: Bytes = frame.freeze();
        self.frames.open(frame.chunk()).map(Some)
    }
}
