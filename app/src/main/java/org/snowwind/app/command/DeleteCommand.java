package org.snowwind.app.command;

import java.util.concurrent.Callable;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/**
 * Deletes one resource.
 */
@Command(name = "delete", description = "Delete a resource that no other refers to.", mixinStandardHelpOptions = true,
		footer = { "", "Example:", "  snowwind delete BackendServer engine-1" })
public final class DeleteCommand implements Callable<Integer> {

	@Mixin
	private EntryOptions entry;

	@Parameters(index = "0", paramLabel = "KIND", description = "The kind of resource.")
	private String kind;

	@Parameters(index = "1", paramLabel = "NAME", description = "Its name.")
	private String name;

	@Override
	public Integer call() {
		return this.entry.call((client) -> client.delete(this.kind, this.name),
				(done) -> ApplyCommand.printResults(this.entry, done));
	}

}
