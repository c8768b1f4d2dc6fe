//! Frame codecs.
//!
//! A frame consists of version, key identity, covered length, frame length, envelope and
//! authentication tag. [`Codec`] puts one frame into one datagram. [`StreamCodec`] adds a length
//! prefix for TCP.
//!
//! The tag covers the whole frame except the tail of a caller's packet. Hashing that tail would
//! cost more than forwarding it, and its bytes were not authenticated before they reached the
//! balancer either. The covered part always includes every other field of the envelope, the
//! packet's headers and the lengths, so that a modified tail can only change payload bytes in
//! place.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::Message;
use prost::encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len};
use thiserror::Error;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::key::{Keyring, TAG_LEN};
use crate::message::{Body, Envelope, FORWARD_TAG, Forward, PACKET_TAG};

/// Largest datagram, in bytes: an Ethernet payload of 1,500 bytes minus IPv4 and UDP headers.
pub const MAX_DATAGRAM: usize = 1_472;

/// Largest frame on a stream, in bytes.
pub const MAX_STREAM_FRAME: usize = 8 * 1_024 * 1_024;

const VERSION: u8 = 1;

/// Length of the header, in bytes: version, key identity, covered length, and frame length without
/// the tag.
const HEADER_LEN: usize = 1 + 1 + 4 + 4;

/// Bytes at the start of a packet that the tag always covers: the longest IPv4 and TCP headers.
const COVERED_PACKET: usize = 120;

/// Error of reading or writing a frame.
#[derive(Debug, Error)]
pub enum CodecError {
    /// The frame is shorter than header and tag.
    #[error("frame of {0} bytes is too short")]
    Short(usize),
    /// The frame has an unknown version.
    #[error("frame version {0} is unknown")]
    Version(u8),
    /// The lengths in the header do not fit the frame.
    #[error("frame of {0} bytes does not match the lengths in its header")]
    Length(usize),
    /// The covered length leaves out more than the tail of a packet.
    #[error("frame leaves more than a packet's payload uncovered")]
    Uncovered,
    /// The tag does not match, or the key is not valid here.
    #[error("frame tag does not verify under key {0}")]
    Tag(u8),
    /// The envelope does not parse.
    #[error("envelope does not parse: {0}")]
    Envelope(#[from] prost::DecodeError),
    /// The stream failed, or a frame is longer than allowed.
    #[error("stream failed: {0}")]
    Stream(#[from] std::io::Error),
}

/// Codec for datagrams.
#[derive(Clone, Debug)]
pub struct Codec {
    keys: Keyring,
}

impl Codec {
    /// Creates a codec that signs and verifies frames with `keys`.
    #[must_use]
    pub const fn new(keys: Keyring) -> Self {
        Self { keys }
    }

    /// Verifies and decodes the frame of a datagram.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the frame is too short, has an unknown version, is not authentic or does
    /// not parse.
    pub fn open(&self, frame: &[u8]) -> Result<Envelope, CodecError> {
        let short = CodecError::Short(frame.len());
        let (signed, tag) = frame.split_last_chunk::<TAG_LEN>().ok_or(short)?;
        let header = Header::parse(signed)?;
        let covered = &signed[..header.covered];
        if !self.keys.verify(header.key, covered, tag) {
            return Err(CodecError::Tag(header.key));
        }
        let envelope = Envelope::decode(&signed[HEADER_LEN..])?;
        if signed.len() - header.covered > uncovered_len(&envelope) {
            return Err(CodecError::Uncovered);
        }
        Ok(envelope)
    }

    /// Encodes and signs a frame, and appends it to `buf`.
    pub fn seal(&self, envelope: &Envelope, buf: &mut BytesMut) {
        let len = HEADER_LEN + envelope.encoded_len();
        let uncovered = uncovered_len(envelope);
        self.seal_with(len, uncovered, buf, |buf| envelope.encode_raw(buf));
    }

    /// Appends the frame that forwards `packet`, without copying the packet into a message first.
    ///
    /// The frame is the one that [`Self::seal`] produces with `packet` in `forward`, whose own
    /// packet must be empty.
    pub fn seal_forward(&self, forward: &Forward, packet: &[u8], buf: &mut BytesMut) {
        debug_assert!(forward.packet.is_empty());
        let packet_field = key_len(PACKET_TAG) + encoded_len_varint(packet.len() as u64);
        let message = forward.encoded_len() + packet_field + packet.len();
        let envelope = key_len(FORWARD_TAG) + encoded_len_varint(message as u64) + message;
        let uncovered = packet.len().saturating_sub(COVERED_PACKET);
        self.seal_with(HEADER_LEN + envelope, uncovered, buf, |buf| {
            encode_key(FORWARD_TAG, WireType::LengthDelimited, buf);
            encode_varint(message as u64, buf);
            forward.encode_raw(buf);
            encode_key(PACKET_TAG, WireType::LengthDelimited, buf);
            encode_varint(packet.len() as u64, buf);
            buf.put_slice(packet);
        });
    }

    fn seal_with(
        &self,
        len: usize,
        uncovered: usize,
        buf: &mut BytesMut,
        encode: impl FnOnce(&mut BytesMut),
    ) {
        let start = buf.len();
        buf.reserve(len + TAG_LEN);
        let header = Header {
            key: self.keys.signing_id(),
            covered: len - uncovered,
            len,
        };
        header.put(buf);
        encode(buf);
        let tag = self.keys.sign(&buf[start..start + header.covered]);
        buf.put_slice(&tag);
    }
}

/// Header of a frame.
struct Header {
    key: u8,
    covered: usize,
    len: usize,
}

impl Header {
    fn parse(signed: &[u8]) -> Result<Self, CodecError> {
        let short = CodecError::Short(signed.len());
        let mut header = signed.get(..HEADER_LEN).ok_or(short)?;
        let version = header.get_u8();
        if version != VERSION {
            return Err(CodecError::Version(version));
        }
        let key = header.get_u8();
        let covered = header.get_u32() as usize;
        let len = header.get_u32() as usize;
        if len != signed.len() || !(HEADER_LEN..=len).contains(&covered) {
            return Err(CodecError::Length(signed.len()));
        }
        Ok(Self { key, covered, len })
    }

    fn put(&self, buf: &mut BytesMut) {
        buf.put_u8(VERSION);
        buf.put_u8(self.key);
        buf.put_u32(frame_len(self.covered));
        buf.put_u32(frame_len(self.len));
    }
}

/// Converts a length to its header field. Frames are far shorter than `u32::MAX` bytes.
fn frame_len(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

/// Returns the number of bytes at the end of the envelope that the tag does not cover: the tail of
/// a caller's packet, which is the last field of its message.
fn uncovered_len(envelope: &Envelope) -> usize {
    match &envelope.body {
        Some(Body::Forward(forward)) => forward.packet.len().saturating_sub(COVERED_PACKET),
        _ => 0,
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

/// Codec for streams: the same frames with a length prefix.
#[derive(Debug)]
pub struct StreamCodec {
    frames: Codec,
    lengths: LengthDelimitedCodec,
}

impl StreamCodec {
    /// Creates a codec that signs and verifies frames with `keys`.
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
