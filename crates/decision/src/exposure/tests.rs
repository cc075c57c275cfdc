use super::ExposureControl;

impl ExposureControl {
    /// Returns whether any keys are stored individually.
    pub(crate) fn stores_individual_keys(&self) -> bool {
        !self.key_builds.is_empty()
    }
}
