//! A text as it travels between daemons: compressed, against a version that both sides hold.

use cherrystand_core::Revision;
use serde::{Deserialize, Serialize};
use zstd::bulk::Compressor;
use zstd::zstd_safe::{CParameter, DCtx, DParameter};

/// The largest text that is unpacked, in bytes: some 40,000 routes.
pub const MAX_BODY_BYTES: usize = 16 << 20;

/// How hard the text is compressed: 164 KB of 1,400 routes become 0.3 KB against a version that
/// differs in 14 of them and 12 KB alone; level 6 saves 0.1 and 1 KB (`tests/packed.rs`).
const COMPRESSION_LEVEL: i32 = 1;

/// The smallest and the largest window, as powers of two: a window has to reach over the text and
/// the version before it.
const WINDOW_LOGS: std::ops::RangeInclusive<u32> = 10..=25;

/// Tells why a text cannot be packed.
#[derive(Debug, thiserror::Error)]
pub enum PackError {
    /// The text is larger than any daemon unpacks.
    #[error("{0} bytes are more than daemons pass on; split the configuration")]
    TooLarge(usize),
    /// The compression library returned an error.
    #[error("the text could not be compressed")]
    Library(#[source] std::io::Error),
}

/// Tells why a packed text is refused; the whole is to be asked for, and what is held stays.
#[derive(Debug, thiserror::Error)]
pub enum UnpackError {
    /// It says what changed against a version that is not held here.
    #[error("it goes on from revision {0}, which is not held; ask for the whole")]
    OtherBase(Revision),
    /// It says that it is larger than any text may be.
    #[error("it says that it has {0} bytes; ask for the whole")]
    TooLarge(u32),
    /// The bytes are cut off, altered, or do not fit the version that they go on from.
    #[error("its bytes do not unpack to what it says; ask for the whole")]
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

    /// All names.
    pub const ALL: [&'static str; 3] = ["other-base", "too-large", "malformed"];
}

/// A text at one revision, compressed alone or against the text at another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedBody {
    /// The revision of the text.
    pub revision: Revision,
    /// The revision that it is compressed against; nothing where it stands alone.
    pub base: Option<Revision>,
    /// The length of the text, in bytes.
    pub length: u32,
    /// A Zstandard frame with a checksum.
    pub bytes: Vec<u8>,
}

impl PackedBody {
    /// Packs a text against a version that the receiver holds, or alone.
    ///
    /// # Errors
    ///
    /// Returns a [`PackError`] where the text is too large or the library fails.
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

    /// Unpacks the text; `held` returns the text at a revision where it is held here.
    ///
    /// # Errors
    ///
    /// Returns an [`UnpackError`]; nothing of the text may be used then.
    pub fn unpack<'a>(
        &self,
        held: impl FnOnce(Revision) -> Option<&'a str>,
    ) -> Result<String, UnpackError> {
        if self.length as usize > MAX_BODY_BYTES {
            return Err(UnpackError::TooLarge(self.length));
        }
        let prefix = match self.base {
            Some(base) => held(base).ok_or(UnpackError::OtherBase(base))?,
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

/// Compresses bytes that follow others.
pub(crate) fn compress(bytes: &[u8], prefix: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut compressor = Compressor::new(COMPRESSION_LEVEL)?;
    compressor.set_parameter(CParameter::ChecksumFlag(true))?;
    if !prefix.is_empty() {
        // Routes keep their places between versions: long matches far back say nearly all.
        compressor.set_parameter(CParameter::EnableLongDistanceMatching(true))?;
        compressor.set_parameter(CParameter::WindowLog(window_log(bytes.len() + prefix.len())))?;
        compressor.context_mut().ref_prefix(prefix).map_err(to_io_error)?;
    }
    compressor.compress(bytes)
}

/// Undoes [`compress`], up to a length.
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
