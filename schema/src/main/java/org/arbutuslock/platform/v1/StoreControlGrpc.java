package org.arbutuslock.platform.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Controls the test store. It has its own port, so that it responds while the store is down.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class StoreControlGrpc {

  private StoreControlGrpc() {}

  public static final java.lang.String SERVICE_NAME = "arbutuslock.platform.v1.StoreControl";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.StoreFaults,
      org.arbutuslock.platform.v1.StoreFaults> getSetFaultsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "SetFaults",
      requestType = org.arbutuslock.platform.v1.StoreFaults.class,
      responseType = org.arbutuslock.platform.v1.StoreFaults.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.StoreFaults,
      org.arbutuslock.platform.v1.StoreFaults> getSetFaultsMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.StoreFaults, org.arbutuslock.platform.v1.StoreFaults> getSetFaultsMethod;
    if ((getSetFaultsMethod = StoreControlGrpc.getSetFaultsMethod) == null) {
      synchronized (StoreControlGrpc.class) {
        if ((getSetFaultsMethod = StoreControlGrpc.getSetFaultsMethod) == null) {
          StoreControlGrpc.getSetFaultsMethod = getSetFaultsMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.StoreFaults, org.arbutuslock.platform.v1.StoreFaults>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "SetFaults"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.StoreFaults.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.StoreFaults.getDefaultInstance()))
              .setSchemaDescriptor(new StoreControlMethodDescriptorSupplier("SetFaults"))
              .build();
        }
      }
    }
    return getSetFaultsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.TakeBackupRequest,
      org.arbutuslock.platform.v1.Backup> getTakeBackupMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "TakeBackup",
      requestType = org.arbutuslock.platform.v1.TakeBackupRequest.class,
      responseType = org.arbutuslock.platform.v1.Backup.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.TakeBackupRequest,
      org.arbutuslock.platform.v1.Backup> getTakeBackupMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.TakeBackupRequest, org.arbutuslock.platform.v1.Backup> getTakeBackupMethod;
    if ((getTakeBackupMethod = StoreControlGrpc.getTakeBackupMethod) == null) {
      synchronized (StoreControlGrpc.class) {
        if ((getTakeBackupMethod = StoreControlGrpc.getTakeBackupMethod) == null) {
          StoreControlGrpc.getTakeBackupMethod = getTakeBackupMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.TakeBackupRequest, org.arbutuslock.platform.v1.Backup>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "TakeBackup"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.TakeBackupRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.Backup.getDefaultInstance()))
              .setSchemaDescriptor(new StoreControlMethodDescriptorSupplier("TakeBackup"))
              .build();
        }
      }
    }
    return getTakeBackupMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.Backup,
      org.arbutuslock.platform.v1.Backup> getRestoreBackupMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RestoreBackup",
      requestType = org.arbutuslock.platform.v1.Backup.class,
      responseType = org.arbutuslock.platform.v1.Backup.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.Backup,
      org.arbutuslock.platform.v1.Backup> getRestoreBackupMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.Backup, org.arbutuslock.platform.v1.Backup> getRestoreBackupMethod;
    if ((getRestoreBackupMethod = StoreControlGrpc.getRestoreBackupMethod) == null) {
      synchronized (StoreControlGrpc.class) {
        if ((getRestoreBackupMethod = StoreControlGrpc.getRestoreBackupMethod) == null) {
          StoreControlGrpc.getRestoreBackupMethod = getRestoreBackupMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.Backup, org.arbutuslock.platform.v1.Backup>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RestoreBackup"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.Backup.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.Backup.getDefaultInstance()))
              .setSchemaDescriptor(new StoreControlMethodDescriptorSupplier("RestoreBackup"))
              .build();
        }
      }
    }
    return getRestoreBackupMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GetCallCountsRequest,
      org.arbutuslock.platform.v1.CallCounts> getGetCallCountsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetCallCounts",
      requestType = org.arbutuslock.platform.v1.GetCallCountsRequest.class,
      responseType = org.arbutuslock.platform.v1.CallCounts.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GetCallCountsRequest,
      org.arbutuslock.platform.v1.CallCounts> getGetCallCountsMethod() {
    io.grpc.MethodDescriptor<org.arbutuslock.platform.v1.GetCallCountsRequest, org.arbutuslock.platform.v1.CallCounts> getGetCallCountsMethod;
    if ((getGetCallCountsMethod = StoreControlGrpc.getGetCallCountsMethod) == null) {
      synchronized (StoreControlGrpc.class) {
        if ((getGetCallCountsMethod = StoreControlGrpc.getGetCallCountsMethod) == null) {
          StoreControlGrpc.getGetCallCountsMethod = getGetCallCountsMethod =
              io.grpc.MethodDescriptor.<org.arbutuslock.platform.v1.GetCallCountsRequest, org.arbutuslock.platform.v1.CallCounts>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetCallCounts"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.GetCallCountsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.arbutuslock.platform.v1.CallCounts.getDefaultInstance()))
              .setSchemaDescriptor(new StoreControlMethodDescriptorSupplier("GetCallCounts"))
              .build();
        }
      }
    }
    return getGetCallCountsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static StoreControlStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<StoreControlStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<StoreControlStub>() {
        @java.lang.Override
        public StoreControlStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new StoreControlStub(channel, callOptions);
        }
      };
    return StoreControlStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static StoreControlBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<StoreControlBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<StoreControlBlockingV2Stub>() {
        @java.lang.Override
        public StoreControlBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new StoreControlBlockingV2Stub(channel, callOptions);
        }
      };
    return StoreControlBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static StoreControlBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<StoreControlBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<StoreControlBlockingStub>() {
        @java.lang.Override
        public StoreControlBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new StoreControlBlockingStub(channel, callOptions);
        }
      };
    return StoreControlBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static StoreControlFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<StoreControlFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<StoreControlFutureStub>() {
        @java.lang.Override
        public StoreControlFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new StoreControlFutureStub(channel, callOptions);
        }
      };
    return StoreControlFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Replaces all active faults; an empty message disables every fault.
     * </pre>
     */
    default void setFaults(org.arbutuslock.platform.v1.StoreFaults request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.StoreFaults> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getSetFaultsMethod(), responseObserver);
    }

    /**
     * <pre>
     * Stores a numbered copy of all entries.
     * </pre>
     */
    default void takeBackup(org.arbutuslock.platform.v1.TakeBackupRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getTakeBackupMethod(), responseObserver);
    }

    /**
     * <pre>
     * Replaces all entries and the store revision with those of a backup and ends every watch.
     * </pre>
     */
    default void restoreBackup(org.arbutuslock.platform.v1.Backup request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRestoreBackupMethod(), responseObserver);
    }

    /**
     */
    default void getCallCounts(org.arbutuslock.platform.v1.GetCallCountsRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.CallCounts> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetCallCountsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service StoreControl.
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public static abstract class StoreControlImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return StoreControlGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service StoreControl.
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public static final class StoreControlStub
      extends io.grpc.stub.AbstractAsyncStub<StoreControlStub> {
    private StoreControlStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected StoreControlStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new StoreControlStub(channel, callOptions);
    }

    /**
     * <pre>
     * Replaces all active faults; an empty message disables every fault.
     * </pre>
     */
    public void setFaults(org.arbutuslock.platform.v1.StoreFaults request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.StoreFaults> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getSetFaultsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Stores a numbered copy of all entries.
     * </pre>
     */
    public void takeBackup(org.arbutuslock.platform.v1.TakeBackupRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getTakeBackupMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Replaces all entries and the store revision with those of a backup and ends every watch.
     * </pre>
     */
    public void restoreBackup(org.arbutuslock.platform.v1.Backup request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRestoreBackupMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     */
    public void getCallCounts(org.arbutuslock.platform.v1.GetCallCountsRequest request,
        io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.CallCounts> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetCallCountsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service StoreControl.
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public static final class StoreControlBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<StoreControlBlockingV2Stub> {
    private StoreControlBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected StoreControlBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new StoreControlBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Replaces all active faults; an empty message disables every fault.
     * </pre>
     */
    public org.arbutuslock.platform.v1.StoreFaults setFaults(org.arbutuslock.platform.v1.StoreFaults request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getSetFaultsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Stores a numbered copy of all entries.
     * </pre>
     */
    public org.arbutuslock.platform.v1.Backup takeBackup(org.arbutuslock.platform.v1.TakeBackupRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getTakeBackupMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Replaces all entries and the store revision with those of a backup and ends every watch.
     * </pre>
     */
    public org.arbutuslock.platform.v1.Backup restoreBackup(org.arbutuslock.platform.v1.Backup request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRestoreBackupMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.CallCounts getCallCounts(org.arbutuslock.platform.v1.GetCallCountsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getGetCallCountsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service StoreControl.
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public static final class StoreControlBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<StoreControlBlockingStub> {
    private StoreControlBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected StoreControlBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new StoreControlBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Replaces all active faults; an empty message disables every fault.
     * </pre>
     */
    public org.arbutuslock.platform.v1.StoreFaults setFaults(org.arbutuslock.platform.v1.StoreFaults request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getSetFaultsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Stores a numbered copy of all entries.
     * </pre>
     */
    public org.arbutuslock.platform.v1.Backup takeBackup(org.arbutuslock.platform.v1.TakeBackupRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getTakeBackupMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Replaces all entries and the store revision with those of a backup and ends every watch.
     * </pre>
     */
    public org.arbutuslock.platform.v1.Backup restoreBackup(org.arbutuslock.platform.v1.Backup request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRestoreBackupMethod(), getCallOptions(), request);
    }

    /**
     */
    public org.arbutuslock.platform.v1.CallCounts getCallCounts(org.arbutuslock.platform.v1.GetCallCountsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetCallCountsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service StoreControl.
   * <pre>
   * Controls the test store. It has its own port, so that it responds while the store is down.
   * </pre>
   */
  public static final class StoreControlFutureStub
      extends io.grpc.stub.AbstractFutureStub<StoreControlFutureStub> {
    private StoreControlFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected StoreControlFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new StoreControlFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Replaces all active faults; an empty message disables every fault.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.StoreFaults> setFaults(
        org.arbutuslock.platform.v1.StoreFaults request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getSetFaultsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Stores a numbered copy of all entries.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.Backup> takeBackup(
        org.arbutuslock.platform.v1.TakeBackupRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getTakeBackupMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Replaces all entries and the store revision with those of a backup and ends every watch.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.Backup> restoreBackup(
        org.arbutuslock.platform.v1.Backup request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRestoreBackupMethod(), getCallOptions()), request);
    }

    /**
     */
    public com.google.common.util.concurrent.ListenableFuture<org.arbutuslock.platform.v1.CallCounts> getCallCounts(
        org.arbutuslock.platform.v1.GetCallCountsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetCallCountsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_SET_FAULTS = 0;
  private static final int METHODID_TAKE_BACKUP = 1;
  private static final int METHODID_RESTORE_BACKUP = 2;
  private static final int METHODID_GET_CALL_COUNTS = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_SET_FAULTS:
          serviceImpl.setFaults((org.arbutuslock.platform.v1.StoreFaults) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.StoreFaults>) responseObserver);
          break;
        case METHODID_TAKE_BACKUP:
          serviceImpl.takeBackup((org.arbutuslock.platform.v1.TakeBackupRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup>) responseObserver);
          break;
        case METHODID_RESTORE_BACKUP:
          serviceImpl.restoreBackup((org.arbutuslock.platform.v1.Backup) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.Backup>) responseObserver);
          break;
        case METHODID_GET_CALL_COUNTS:
          serviceImpl.getCallCounts((org.arbutuslock.platform.v1.GetCallCountsRequest) request,
              (io.grpc.stub.StreamObserver<org.arbutuslock.platform.v1.CallCounts>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getSetFaultsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.StoreFaults,
              org.arbutuslock.platform.v1.StoreFaults>(
                service, METHODID_SET_FAULTS)))
        .addMethod(
          getTakeBackupMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.TakeBackupRequest,
              org.arbutuslock.platform.v1.Backup>(
                service, METHODID_TAKE_BACKUP)))
        .addMethod(
          getRestoreBackupMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.Backup,
              org.arbutuslock.platform.v1.Backup>(
                service, METHODID_RESTORE_BACKUP)))
        .addMethod(
          getGetCallCountsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.arbutuslock.platform.v1.GetCallCountsRequest,
              org.arbutuslock.platform.v1.CallCounts>(
                service, METHODID_GET_CALL_COUNTS)))
        .build();
  }

  private static abstract class StoreControlBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    StoreControlBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.arbutuslock.platform.v1.StoreProto.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("StoreControl");
    }
  }

  private static final class StoreControlFileDescriptorSupplier
      extends StoreControlBaseDescriptorSupplier {
    StoreControlFileDescriptorSupplier() {}
  }

  private static final class StoreControlMethodDescriptorSupplier
      extends StoreControlBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    StoreControlMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (StoreControlGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new StoreControlFileDescriptorSupplier())
              .addMethod(getSetFaultsMethod())
              .addMethod(getTakeBackupMethod())
              .addMethod(getRestoreBackupMethod())
              .addMethod(getGetCallCountsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
