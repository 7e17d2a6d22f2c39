//! Texts in messages between daemons, compressed against a version that both sides have.

use cherrystand_core::Revision;
use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;
use zstd::zstd_safe::{CParameter, DCtx, DParameter};

/// Maximum size of a text, in bytes: about 40,000 routes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// The Zstandard compression level. At level 1, 1,400 routes of 164 KB take 0.3 KB against a version
/// that differs in 14 of them, and 12 KB alone; level 6 saves 0.1 KB and 1 KB (`tests/packed.rs`).
const COMPRESSION_LEVEL: i32 = 1;

/// The range of window sizes, as powers of two. The window has to cover the text and the base version
/// before it.
const WINDOW_LOGS: std::ops::RangeInclusive<u32> = 10..=25;

/// The reason why a text cannot be packed.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The text exceeds [`MAX_BODY_BYTES`].
    #[error(
        "{0} bytes exceed the maximum of {MAX_BODY_BYTES} between daemons; split the configuration"
    )]
    TooLarge(usize),
    /// The compression library returned an error.
    #[error("the text could not be compressed")]
    Library(#[source] std::io::Error),
}

/// The reason why a packed text is rejected. The receiver keeps its version and requests the full text.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// The text is packed against a version that the receiver does not have.
    #[error("it is based on revision {0}, which is not available; request the full text")]
    OtherBase(Revision),
    /// The stated length exceeds [`MAX_BODY_BYTES`].
    #[error("the stated length of {0} bytes is too large; request the full text")]
    TooLarge(u32),
    /// The bytes are truncated, corrupted, or packed against another base version.
    #[error("its bytes do not unpack to the stated text; request the full text")]
    Malformed,
}

impl UnpackError {
    /// Returns the name that metrics use.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::OtherBase(_) => "other-base",
            Self::TooLarge(_) => "too-large",
            Self::Malformed => "malformed",
        }
    }

    /// All names that [`UnpackError::as_str`] returns.
    pub const ALL: [&'static str; 3] = ["other-base", "too-large", "malformed"];
}

/// A text at one revision, compressed alone or against the text at another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedBody {
    /// The revision of the text.
    pub revision: Revision,
    /// The revision of the base version, or nothing if the text is compressed alone.
    pub base: Option<Revision>,
    /// The length of the text, in bytes.
    pub length: u32,
    /// A Zstandard frame with a checksum.
    pub bytes: Vec<u8>,
}

impl PackedBody {
    /// Packs a text against a version that the receiver has, or alone.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] if the text is too large or the compression library fails.
    pub fn pack(
        revision: Revision,
        text: &str,
        base: Option<(Revision, &str)>,
    ) -> Result<Self, PackError> {
        let length = u32::try_from(text.len()).ok().filter(|_| text.len() <= MAX_BODY_BYTES);
        let length = length.ok_or(PackError::TooLarge(text.len()))?;
        let prefix = base.map(|(_, prefix)| prefix.as_bytes()).unwrap_or_default();
        let bytes = compress(text.as_bytes(), prefix).map_err(PackError::Library)?;
        Ok(Self { revision, base: base.map(|(revision, _)| revision), length, bytes })
    }

    /// Unpacks the text; `text_at` returns the text of a revision, if it is available.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`] if the text cannot be restored completely.
    pub fn unpack<'a>(
        &self,
        text_at: impl FnOnce(Revision) -> Option<&'a str>,
    ) -> Result<String, UnpackError> {
        if self.length as usize > MAX_BODY_BYTES {
            return Err(UnpackError::TooLarge(self.length));
        }
        let prefix = match self.base {
            Some(base) => text_at(base).ok_or(UnpackError::OtherBase(base))?,
            None => "",
        };
        let bytes = decompress(&self.bytes, prefix.as_bytes(), self.length as usize);
        let bytes = bytes.map_err(|_| UnpackError::Malformed)?;
        if bytes.len() != self.length as usize {
            return Err(UnpackError::Malformed);
        }
        String::from_utf8(bytes).map_err(|_| UnpackError::Malformed)
    }
}

/// Compresses bytes, with a prefix that the decompressing side has as well.
pub(crate) fn compress(bytes: &[u8], prefix: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut compressor = Compressor::new(COMPRESSION_LEVEL)?;
    compressor.set_parameter(CParameter::ChecksumFlag(true))?;
    if !prefix.is_empty() {
        // Routes keep their order between versions, so that long matches far back cover most of the text.
        compressor.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
        compressor.set_parameter(CParameter::WindowLog(window_log(bytes.len() + prefix.len())))?;
        compressor.context_mut().ref_prefix(prefix).map_err(to_io_error)?;
    }
    compressor.compress(bytes)
}

/// Decompresses what [`compress`] returned, up to a length.
pub(crate) fn decompress(bytes: &[u8], prefix: &[u8], length: usize) -> std::io::Result<Vec<u8>> {
    let mut context = DCtx::create();
    context.set_parameter(DParameter::WindowLogMax(*WINDOW_LOGS.end())).map_err(to_io_error)?;
    context.ref_prefix(prefix).map_err(to_io_error)?;
    let mut text = Vec::with_capacity(length);
    context.decompress(&mut text, bytes).map_err(to_io_error)?;
    Ok(text)
}

fn to_io_error(code: usize) -> std::io::Error {
    std::io::Error::other(zstd::zstd_safe::get_error_name(code))
}

fn window_log(reach: usize) -> u32 {
    let log = usize::BITS - reach.leading_zeros();
    log.clamp(*WINDOW_LOGS.start(), *WINDOW_LOGS.end())
}
