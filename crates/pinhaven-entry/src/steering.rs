//! How many entries callers are steered to.

/// Entries of a failure domain that callers are steered to. Fewer entries know the targets better, as
/// each sees more of the answers; with two, callers of a domain lose nothing when one fails.
pub(crate) const SERVING_PER_DOMAIN: usize = 2;
/// Entries that an answer names at least, if there are so many.
pub(crate) const NAMED_LEAST: usize = 2;
