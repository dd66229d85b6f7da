package org.snowwind.app.soak;

/**
 * An evacuation that the soak has requested.
 *
 * @param dataCentre the data centre
 * @param writtenNanos the time after the store had taken it
 * @param removedNanos the time before it was removed
 */
record WrittenEvacuation(String dataCentre, long writtenNanos, long removedNanos) {

}
