use super::ExposureControl;

impl ExposureControl {
    /// Returns whether any keys are stored individually.
    pub(crate) fn tells_keys_apart(&self) -> bool {
        !self.key_builds.is_empty()
    }
}
