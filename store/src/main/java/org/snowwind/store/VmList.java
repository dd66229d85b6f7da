package org.snowwind.store;

import java.util.List;

/**
 * The platform's list of VMs, which may be outdated.
 */
@FunctionalInterface
public interface VmList {

	/**
	 * Reads the list.
	 * @return the VMs, empty if the platform does not answer
	 */
	List<Vm> read();

	/**
	 * A VM.
	 *
	 * @param name its name
	 * @param role {@code entry} or {@code backend}
	 * @param dataCentre its data centre
	 * @param controlAddress the control address of the snowwind process on it
	 * @param leaving whether the platform is about to remove it
	 */
	record Vm(String name, String role, String dataCentre, String controlAddress, boolean leaving) {

	}

}
